package simulator

import "time"

// injectStoreFault injects one of four faults into a store and ends it: a kill, a power loss, an
// isolation from the network or a stalled disk.
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

// cutFromPeers partitions a store from the other stores, but not from clients, for 3.5 s.
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
