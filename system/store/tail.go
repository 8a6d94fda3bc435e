package store

// wakeTailReaders is the cursor update: it lets the tail readers of a line look again.
func (node *Node) wakeTailReaders(name string) {
	node.tailMutex.Lock()
	if waiting, found := node.tailWaiters[name]; found {
		close(waiting)
		delete(node.tailWaiters, name)
	}
	node.tailMutex.Unlock()
}

func (node *Node) tailWaiter(name string) chan struct{} {
	node.tailMutex.Lock()
	defer node.tailMutex.Unlock()
	if _, found := node.tailWaiters[name]; !found {
		node.tailWaiters[name] = make(chan struct{})
	}
	return node.tailWaiters[name]
}
