package front

import "sync"

// runs counts what goes on behind callers' backs. Unlike a WaitGroup it may be
// waited for while more is started, and takes nothing more once closed.
type taskGroup struct {
	mutex  sync.Mutex
	ended  sync.Cond
	count  int
	closed bool
}

func newTaskGroup() *taskGroup {
	made := &taskGroup{}
	made.ended.L = &made.mutex
	return made
}

// start runs a task, unless the node is closing.
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

// wait returns once nothing is under way.
func (tasks *taskGroup) wait() {
	tasks.mutex.Lock()
	defer tasks.mutex.Unlock()
	for tasks.count > 0 {
		tasks.ended.Wait()
	}
}

// close takes nothing more, and waits for what is under way.
func (tasks *taskGroup) close() {
	tasks.mutex.Lock()
	tasks.closed = true
	tasks.mutex.Unlock()
	tasks.wait()
}
