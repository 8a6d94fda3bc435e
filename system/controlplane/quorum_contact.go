package controlplane

import "time"

// quorumContact is what a node knows of its own contact with the control group. A node that was
// cut off, frozen or only just started has heard nobody, which tells nothing of the others.
type quorumContact struct {
	lastChecked time.Time // when it last looked
	since       time.Time // from when on it has heard a majority of the voters all the time
}

// record takes that so many of the voters were heard lately.
func (contact *quorumContact) record(now time.Time, heard, voters int) {
	frozen := now.Sub(contact.lastChecked) > suspectTimeout
	if frozen || heard < voters/2+1 {
		contact.since = now
	}
	contact.lastChecked = now
}

// duration tells for how long the contact has lasted without a pause.
func (contact *quorumContact) duration(now time.Time) time.Duration {
	if now.Sub(contact.lastChecked) > suspectTimeout {
		return 0
	}
	return now.Sub(contact.since)
}

// recordQuorumContact looks whether this node hears a majority of the control group.
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

func (node *Node) quorumContactFor() time.Duration {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.contact.duration(time.Now())
}
