package controlplane

import "time"

// quorumContact measures for how long a node has been in contact with a majority of the
// control group. A node that was cut off, frozen or has only just started has heard nobody,
// which says nothing of the others.
type quorumContact struct {
	lastChecked time.Time
	since       time.Time // since when a majority has been heard without a pause
}

// record notes how many of the voters were heard lately. It must be called more often than
// once in suspectTimeout.
func (contact *quorumContact) record(now time.Time, heard, voters int) {
	frozen := now.Sub(contact.lastChecked) > suspectTimeout
	if frozen || heard < voters/2+1 {
		contact.since = now
	}
	contact.lastChecked = now
}

// duration returns for how long the contact has lasted without a pause.
func (contact *quorumContact) duration(now time.Time) time.Duration {
	if now.Sub(contact.lastChecked) > suspectTimeout {
		return 0
	}
	return now.Sub(contact.since)
}

// recordQuorumContact records whether this node hears a majority of the control group.
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

// quorumContactFor returns for how long this node has been in contact with a majority.
func (node *Node) quorumContactFor() time.Duration {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.contact.duration(time.Now())
}
