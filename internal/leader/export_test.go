package leader

// WithoutFence makes a group forward every answer, so that tests of the acknowledgement rule detect the violation.
func WithoutFence() Option {
	return func(group *Group) { group.unfenced = true }
}
