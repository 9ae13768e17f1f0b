package mirror

import "corianderspool.example/spool/pkg/spool"

// EraChanged records that the store began a new era: entries may be missing until their writers write them again, and the
// current watch, which follows the history of the old era, is cancelled so that the objects are listed again.
func (mirror *Mirror) EraChanged() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.failedAt = mirror.timers.Now()
	if mirror.cancelWatch != nil {
		mirror.watchCancelled = true
		mirror.cancelWatch()
	}
}

// noteEra records an outage if a version is of another era than the copy, since entries that are missing as of that version
// may only be missing until their writers write them again.
func (mirror *Mirror) noteEra(version spool.Version) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.store.Era() != 0 && mirror.version != 0 && mirror.version.Era() != version.Era() {
		mirror.failedAt = mirror.timers.Now()
	}
}
