package leader

// WithoutFence has a group pass on every answer, so that the proof of the acknowledgement rule fails.
func WithoutFence() Option {
	return func(group *Group) { group.unfenced = true }
}
