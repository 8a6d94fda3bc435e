package simulator

import "time"

// injectStoreFault lets one of four faults befall a store and ends it: killed, without power,
// cut off, its disk stalled.
func (cluster *Cluster) injectStoreFault(store *Machine, fault int) {
	switch fault {
	case 0:
		store.Kill()
		<-time.After(1500 * time.Millisecond)
		store.Start()
	case 1:
		store.LosePower()
		store.Start()
	case 2:
		cluster.Network.Isolate(store.Host)
		<-time.After(2500 * time.Millisecond)
		cluster.Network.Rejoin(store.Host)
	case 3:
		store.Disk.Stall()
		<-time.After(2500 * time.Millisecond)
		store.Disk.Resume()
	}
}

// cutFromPeers cuts a store off from the other stores only, for a while.
func (cluster *Cluster) cutFromPeers(store *Machine) {
	for _, other := range cluster.Stores {
		if other != store {
			cluster.Network.Cut(store.Host, other.Host)
		}
	}
	<-time.After(3500 * time.Millisecond)
	for _, other := range cluster.Stores {
		cluster.Network.Heal(store.Host, other.Host)
	}
}
