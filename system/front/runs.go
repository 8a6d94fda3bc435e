package front

import "sync"

// runs counts what goes on behind callers' backs. Unlike a WaitGroup it may be
// waited for while more is started, and takes nothing more once closed.
type runs struct {
	mutex  sync.Mutex
	ended  sync.Cond
	count  int
	closed bool
}

func newRuns() *runs {
	made := &runs{}
	made.ended.L = &made.mutex
	return made
}

// start runs a task, unless the node is closing.
func (runs *runs) start(task func()) {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	if runs.closed {
		return
	}
	runs.count++
	go func() {
		defer func() {
			runs.mutex.Lock()
			runs.count--
			runs.ended.Broadcast()
			runs.mutex.Unlock()
		}()
		task()
	}()
}

// wait returns once nothing is under way.
func (runs *runs) wait() {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	for runs.count > 0 {
		runs.ended.Wait()
	}
}

// close takes nothing more, and waits for what is under way.
func (runs *runs) close() {
	runs.mutex.Lock()
	runs.closed = true
	runs.mutex.Unlock()
	runs.wait()
}
