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

// Open starts a host on what its log holds. Machines makes an empty state
// machine for a group.
//
//	host, err := replica.Open(replica.Usual(1), log, records, machines, courier)
//	defer host.Close()
func Open(settings Settings, durable *durablelog.Log, records []durablelog.Record, machines func(uint32) StateMachine, transport *Transport) (*Host, error) {
	host := &Host{
		settings: settings, name: durable.Identity().Name, durableLog: durable, newStateMachine: machines, transport: transport,
		actions: make(chan func(), 1024), diskJobs: make(chan *diskJob), finishedJobs: make(chan *diskJob, 1),
		stopping: make(chan struct{}), stopped: make(chan struct{}),
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
	go host.diskLoop()
	go host.loop()
	return host, nil
}

// replay folds what the log holds into the last state of each group.
func (host *Host) replay(records []durablelog.Record) (map[uint32]raft.PersistentState, error) {
	stored, contents := map[uint32]raft.PersistentState{}, map[uint32][]byte{}
	for _, record := range records {
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

// restoreGroups restores all groups, several at a time: after an outage this is most
// of what a start takes.
func (host *Host) restoreGroups(stored map[uint32]raft.PersistentState) error {
	var mutex sync.Mutex
	var restoring sync.WaitGroup
	var failed error
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	for groupID, content := range stored {
		restoring.Go(func() {
			places <- struct{}{}
			made, err := host.newGroup(groupID, content)
			<-places
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failed = errors.Join(failed, err)
				return
			}
			host.groups[groupID] = made
		})
	}
	restoring.Wait()
	return failed
}

func (host *Host) addGroup(groupID uint32, stored raft.PersistentState) error {
	made, err := host.newGroup(groupID, stored)
	if err == nil {
		host.groups[groupID] = made
	}
	return err
}

// newGroup makes a replica of what the disk holds. What cannot be read is refused, so
// that no replica votes or leads that lacks what it once promised.
func (host *Host) newGroup(groupID uint32, stored raft.PersistentState) (*raftGroup, error) {
	if err := stored.Check(); err != nil {
		return nil, groupDamaged(groupID, err)
	}
	made := &raftGroup{stateMachine: host.newStateMachine(groupID), proposals: map[uint64]proposal{}, reads: map[uint64]chan error{}, snapshotBytes: len(stored.Snapshot.Data)}
	if len(stored.Snapshot.Data) > 0 {
		if err := made.stateMachine.Restore(stored.Snapshot.Data); err != nil {
			return nil, groupDamaged(groupID, err)
		}
	}
	made.core = raft.New(raft.Settings{
		Group: groupID, Name: host.name, ElectionTicks: host.settings.ElectionTicks, HeartbeatTicks: host.settings.HeartbeatTicks, Seed: host.settings.Seed,
		InstallSnapshot: made.installSnapshot,
	}, stored)
	return made, nil
}

func groupDamaged(groupID uint32, cause error) error {
	if apierror.Is(cause, apierror.FormatTooNew) {
		return cause
	}
	return apierror.New(apierror.Damaged, fmt.Sprintf("what is stored of group %d cannot be read: %v", groupID, cause), "empty the data folder so that the node joins as a new one and is healed from its peers")
}
