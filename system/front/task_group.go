package front

import "sync"

// taskGroup counts background tasks. Unlike a sync.WaitGroup it may be waited for while more
// start, and takes none any more once closed.
type taskGroup struct {
	mutex  sync.Mutex
	ended  sync.Cond
	count  int
	closed bool
}

// newTaskGroup makes an empty group.
func newTaskGroup() *taskGroup {
	made := &taskGroup{}
	made.ended.L = &made.mutex
	return made
}

// start runs a task in a goroutine of its own, unless the group is closed.
func (tasks *taskGroup) start(task func()) {
	tasks.mutex.Lock()
	defer tasks.mutex.Unlock()
	if tasks.closed {
		return
	}
	tasks.count++
	go func() {
		defer func() {
			tasks.mutex.Lock()
			tasks.count--
			tasks.ended.Broadcast()
			tasks.mutex.Unlock()
		}()
		task()
	}()
}

// wait returns once no task runs.
func (tasks *taskGroup) wait() {
	tasks.mutex.Lock()
	defer tasks.mutex.Unlock()
	for tasks.count > 0 {
		tasks.ended.Wait()
	}
}

// close takes no more tasks and waits for those that run.
func (tasks *taskGroup) close() {
	tasks.mutex.Lock()
	tasks.closed = true
	tasks.mutex.Unlock()
	tasks.wait()
}
