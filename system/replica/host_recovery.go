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

// Open starts a host with the groups that its durable log has. records are those that
// [durablelog.Open] returned; they are used up. newStateMachine returns an empty state machine
// for a group; it is called from several goroutines at once. The host uses the log and the
// transport until Close, and closes the transport; after an error both stay with the caller. The
// log needs no Close: its files belong to the [vfs.Directory] that it was opened in.
//
// The error is an [apierror.Error]: Damaged if the state of a group cannot be read,
// FormatTooNew if a newer version has written it.
func Open(settings Settings, durableLog *durablelog.Log, records []durablelog.Record, newStateMachine func(uint32) StateMachine, transport *Transport) (*Host, error) {
	host := &Host{
		settings: settings, name: durableLog.Identity().Name, durableLog: durableLog, newStateMachine: newStateMachine, transport: transport,
		actions: make(chan func(), 1024), diskJobs: make(chan *diskJob), finishedJobs: make(chan *diskJob, 1),
		stopping: make(chan struct{}), stopped: make(chan struct{}), diskStopped: make(chan struct{}),
		groups: map[uint32]*raftGroup{}, removed: map[uint32]bool{}, values: map[uint32][]byte{}, outbox: map[string][]raft.Message{},
	}
	stored, err := host.replay(records)
	if err != nil {
		return nil, err
	}
	if err := host.restoreGroups(stored); err != nil {
		return nil, err
	}
	host.publishStatuses()
	if settings.Figures != nil {
		host.publishFigures(settings.Figures)
	}
	go host.diskLoop()
	go host.loop()
	return host, nil
}

// replay returns the state of each group that the records amount to, and restores the values
// and the list of removed groups. It takes the data out of the records, so that what is decoded
// is not in memory twice.
func (host *Host) replay(records []durablelog.Record) (map[uint32]raft.PersistentState, error) {
	stored, contents := map[uint32]raft.PersistentState{}, map[uint32][]byte{}
	for position, record := range records {
		records[position].Data = nil
		switch record.Kind {
		case recordSnapshotContent:
			contents[record.Group] = record.Data
		case recordWrite:
			write, err := decodeWrite(record, contents)
			if err != nil {
				return nil, groupDamaged(record.Group, err)
			}
			stored[record.Group] = stored[record.Group].With(write)
			delete(host.removed, record.Group)
		case recordGroupRemoved:
			delete(stored, record.Group)
			delete(contents, record.Group)
			host.removed[record.Group] = true
		case recordValue:
			host.values[record.Group] = slices.Clone(record.Data)
		default:
			return nil, apierror.New(apierror.FormatTooNew, fmt.Sprintf("a stored record is of kind %d", record.Kind), "run the newer version of the program that wrote it")
		}
	}
	return stored, nil
}

// restoreGroups restores all groups, several at a time: most of a start after an outage is
// the decoding of snapshots.
func (host *Host) restoreGroups(stored map[uint32]raft.PersistentState) error {
	var mutex sync.Mutex // guards failed and host.groups
	var restoring sync.WaitGroup
	var failed error
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for groupID, state := range stored {
		restoring.Go(func() {
			slots <- struct{}{}
			group, err := host.newGroup(groupID, state)
			<-slots
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failed = errors.Join(failed, err)
				return
			}
			host.groups[groupID] = group
		})
	}
	restoring.Wait()
	return failed
}

// addGroup adds a group that is not here yet. It must be called on the loop.
func (host *Host) addGroup(groupID uint32, stored raft.PersistentState) error {
	group, err := host.newGroup(groupID, stored)
	if err == nil {
		host.groups[groupID] = group
	}
	return err
}

// newGroup returns a replica with a stored state. A state that cannot be read is an error: a
// replica without what it promised must neither vote nor lead.
func (host *Host) newGroup(groupID uint32, stored raft.PersistentState) (*raftGroup, error) {
	if err := stored.Check(); err != nil {
		return nil, groupDamaged(groupID, err)
	}
	group := &raftGroup{stateMachine: host.newStateMachine(groupID), proposals: map[uint64]proposal{}, reads: map[uint64]chan error{}, snapshotBytes: len(stored.Snapshot.Data)}
	if len(stored.Snapshot.Data) > 0 {
		if err := group.stateMachine.Restore(stored.Snapshot.Data); err != nil {
			return nil, groupDamaged(groupID, err)
		}
	}
	group.core = raft.New(raft.Settings{
		Group: groupID, Name: host.name, ElectionTicks: host.settings.ElectionTicks, HeartbeatTicks: host.settings.HeartbeatTicks, Seed: host.settings.Seed,
		InstallSnapshot: group.installSnapshot,
	}, stored)
	return group, nil
}

// groupDamaged returns the error of a group whose stored state cannot be read, or the cause
// itself if a newer version has written it.
func groupDamaged(groupID uint32, cause error) error {
	if apierror.Is(cause, apierror.FormatTooNew) {
		return cause
	}
	return apierror.Wrap(cause, apierror.Damaged, fmt.Sprintf("what is stored of group %d cannot be read: %v", groupID, cause), "empty the data folder so that the node joins as a new one and is healed from its peers")
}
