package controlplane

import "time"

// quorumContact measures how long a node has been in contact with a majority of the control
// group. A node that was partitioned, paused or just started has not heard from others, which
// is no evidence that they failed.
type quorumContact struct {
	lastChecked time.Time
	since       time.Time // start of the uninterrupted contact with a majority
}

// record updates the contact with the number of voters heard from within suspectTimeout. It must
// be called more often than once per suspectTimeout; a longer gap restarts the contact.
func (contact *quorumContact) record(now time.Time, heard, voters int) {
	paused := now.Sub(contact.lastChecked) > suspectTimeout
	if paused || heard < voters/2+1 {
		contact.since = now
	}
	contact.lastChecked = now
}

// duration returns how long the contact has lasted without interruption.
func (contact *quorumContact) duration(now time.Time) time.Duration {
	if now.Sub(contact.lastChecked) > suspectTimeout {
		return 0
	}
	return now.Sub(contact.since)
}

// recordQuorumContact records how many voters of the control group this node hears from.
func (node *Node) recordQuorumContact() {
	voters := node.Voters()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now, heard := time.Now(), 0
	for _, name := range voters {
		if name == node.Name() || now.Sub(node.liveness[name].lastHeard) <= suspectTimeout {
			heard++
		}
	}
	node.contact.record(now, heard, len(voters))
}

// quorumContactFor returns how long this node has been in contact with a majority.
func (node *Node) quorumContactFor() time.Duration {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.contact.duration(time.Now())
}
