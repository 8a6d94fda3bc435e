package replica

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"

	"yardrock.example/system/apierror"
	"yardrock.example/system/durablelog"
	"yardrock.example/system/raft"
)

// Open starts a host with the groups in its durable log. records are the records returned by
// [durablelog.Open]; Open consumes them. newStateMachine returns an empty state machine for a
// group and is called concurrently. The host uses the log and the transport until Close, which
// closes the transport; after an error the caller keeps both. The log needs no Close: its files
// belong to the [vfs.Directory] that it was opened in.
//
// The error is an [apierror.Error]: Damaged if the state of a group is unreadable, FormatTooNew
// if it was written by a newer version.
func Open(settings Settings, durableLog *durablelog.Log, records []durablelog.Record, newStateMachine func(uint32) StateMachine, transport *Transport) (*Host, error) {
	host := &Host{
		settings: settings, name: durableLog.Identity().Name, durableLog: durableLog, newStateMachine: newStateMachine, transport: transport,
		actions: make(chan func(), 1024), diskJobs: make(chan *diskJob), finishedJobs: make(chan *diskJob, 1),
		stopping: make(chan struct{}), stopped: make(chan struct{}), diskStopped: make(chan struct{}),
		groups: map[uint32]*raftGroup{}, deletedReplicas: map[uint32]bool{}, values: map[uint32][]byte{}, outbox: map[string][]raft.Message{},
	}
	stored, err := host.replay(records)
	if err != nil {
		return nil, err
	}
	if err := host.restoreGroups(stored); err != nil {
		return nil, err
	}
	host.publishStatuses()
	if settings.Metrics != nil {
		host.registerMetrics(settings.Metrics)
	}
	go host.diskLoop()
	go host.loop()
	return host, nil
}

// replay returns the state of each group after all records, and restores the values and the set
// of deleted replicas. It clears the data of each record, so that it can be freed once decoded.
func (host *Host) replay(records []durablelog.Record) (map[uint32]raft.PersistentState, error) {
	stored, snapshotData := map[uint32]raft.PersistentState{}, map[uint32][]byte{}
	for position, record := range records {
		records[position].Data = nil
		switch record.Kind {
		case recordSnapshotData:
			snapshotData[record.Group] = record.Data
		case recordWrite:
			write, err := decodeWrite(record, snapshotData)
			if err != nil {
				return nil, groupDamagedError(record.Group, err)
			}
			stored[record.Group] = stored[record.Group].With(write)
			delete(host.deletedReplicas, record.Group)
		case recordReplicaDeleted:
			delete(stored, record.Group)
			delete(snapshotData, record.Group)
			host.deletedReplicas[record.Group] = true
		case recordValue:
			host.values[record.Group] = slices.Clone(record.Data)
		default:
			return nil, apierror.New(apierror.FormatTooNew, fmt.Sprintf("the data directory contains a record of unknown kind %d", record.Kind), "run the newer version of the program that wrote it")
		}
	}
	return stored, nil
}

// restoreGroups restores all groups in parallel, since decoding snapshots takes most of the
// startup time.
func (host *Host) restoreGroups(stored map[uint32]raft.PersistentState) error {
	var mutex sync.Mutex // guards errs and host.groups
	var wg sync.WaitGroup
	var errs error
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	for groupID, state := range stored {
		wg.Go(func() {
			semaphore <- struct{}{}
			group, err := host.newGroup(groupID, state)
			<-semaphore
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				errs = errors.Join(errs, err)
				return
			}
			host.groups[groupID] = group
		})
	}
	wg.Wait()
	return errs
}

// addGroup adds a group that is not on this node yet. It must be called on the loop.
func (host *Host) addGroup(groupID uint32, stored raft.PersistentState) error {
	group, err := host.newGroup(groupID, stored)
	if err == nil {
		host.groups[groupID] = group
	}
	return err
}

// newGroup returns a replica with a stored state. An unreadable state is an error: a replica
// without its votes and acknowledged entries must neither vote nor lead.
func (host *Host) newGroup(groupID uint32, stored raft.PersistentState) (*raftGroup, error) {
	if err := stored.Check(); err != nil {
		return nil, groupDamagedError(groupID, err)
	}
	group := &raftGroup{stateMachine: host.newStateMachine(groupID), proposals: map[uint64]proposal{}, reads: map[uint64]chan error{}, snapshotBytes: len(stored.Snapshot.Data)}
	if len(stored.Snapshot.Data) > 0 {
		if err := group.stateMachine.Restore(stored.Snapshot.Data); err != nil {
			return nil, groupDamagedError(groupID, err)
		}
	}
	group.core = raft.New(raft.Settings{
		Group: groupID, Name: host.name, ElectionTicks: host.settings.ElectionTicks, HeartbeatTicks: host.settings.HeartbeatTicks, Seed: host.settings.Seed,
		InstallSnapshot: group.installSnapshot,
	}, stored)
	return group, nil
}

// groupDamagedError returns the error for a group whose stored state is unreadable, or the cause
// itself if the state was written by a newer version.
func groupDamagedError(groupID uint32, cause error) error {
	if apierror.Is(cause, apierror.FormatTooNew) {
		return cause
	}
	return apierror.Wrap(cause, apierror.Damaged, fmt.Sprintf("the stored state of group %d is unreadable: %v", groupID, cause), "empty the data directory; the node then joins as a new one and recovers its state from its peers")
}
