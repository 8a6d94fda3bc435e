package simulator

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"yardrock.example/system/apierror"
	"yardrock.example/system/archive"
	"yardrock.example/system/durablelog"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

// replayed folds records as the node does: the last value of each group counts.
func replayed(records []durablelog.Record) map[uint32]string {
	buffered := map[uint32]string{}
	for _, record := range records {
		buffered[record.Group] = string(record.Data)
	}
	return buffered
}

func TestDataFolderKeepsSyncedRecordsOverPowerLoss(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260102)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("synced records survive in order", prop.ForAll(func(seed uint64, steps []uint8) string {
		disk := NewDisk(seed)
		log, _, err := durablelog.Open(disk, "store")
		if err != nil {
			return err.Error()
		}
		name := log.Identity().Name
		model := map[uint32]string{}
		for position, step := range steps {
			switch {
			case step < 140:
				record := durablelog.Record{Group: uint32(step % 7), Kind: 1, Data: fmt.Appendf(nil, "value %d", position)}
				if err := log.Append([]durablelog.Record{record}); err != nil {
					return err.Error()
				}
				model[record.Group] = string(record.Data)
			case step < 180:
				snapshot := []durablelog.Record{}
				for group, value := range model {
					snapshot = append(snapshot, durablelog.Record{Group: group, Kind: 1, Data: []byte(value)})
				}
				if err := log.WriteSnapshot(slices.Values(snapshot)); err != nil {
					return err.Error()
				}
			case step < 200: // a write that fails and is written again
				record := durablelog.Record{Group: uint32(step % 7), Kind: 1, Data: fmt.Appendf(nil, "retried %d", position)}
				disk.Fill(true)
				if log.Append([]durablelog.Record{record}) == nil {
					return "a full disk took a write"
				}
				disk.Fill(false)
				if err := log.Append([]durablelog.Record{record}); err != nil {
					return err.Error()
				}
				model[record.Group] = string(record.Data)
			default: // power is lost with a write half done
				disk.Tear(log)
				disk.LosePower()
				var records []durablelog.Record
				log, records, err = durablelog.Open(disk, "store")
				if err != nil {
					return fmt.Sprintf("step %d: %v", position, err)
				}
				if got := replayed(records); fmt.Sprint(got) != fmt.Sprint(model) {
					return fmt.Sprintf("step %d: replayed %v, want %v", position, got, model)
				}
				if log.Identity().Name != name {
					return "the disk changed its name"
				}
			}
		}
		return ""
	}, gen.UInt64(), gen.SliceOfN(60, gen.UInt8())))
	properties.TestingRun(t)
}

// Tear writes a frame without syncing it, as a process does that dies between.
func (disk *Disk) Tear(log *durablelog.Log) {
	names, _ := disk.List()
	last := names[0]
	for _, name := range names {
		if name[:3] == "log" {
			last = name
		}
	}
	if last[:3] == "log" {
		disk.WriteAt(last, log.LogBytes(), []byte("RFry half of a frame that nobody was told of"))
	}
}

func filledDisk(t *testing.T) (*Disk, map[uint32]string) {
	t.Helper()
	disk := NewDisk(1)
	log, _, err := durablelog.Open(disk, "store")
	if err != nil {
		t.Fatal(err)
	}
	model := map[uint32]string{}
	append1 := func(group uint32, value string) {
		if err := log.Append([]durablelog.Record{{Group: group, Kind: 1, Data: []byte(value)}}); err != nil {
			t.Fatal(err)
		}
		model[group] = value
	}
	snapshot := func() []durablelog.Record {
		records := []durablelog.Record{}
		for group, value := range model {
			records = append(records, durablelog.Record{Group: group, Kind: 1, Data: []byte(value)})
		}
		return records
	}
	for round := range 3 {
		for group := range uint32(4) {
			append1(group, fmt.Sprintf("round %d", round))
		}
		if err := log.WriteSnapshot(slices.Values(snapshot())); err != nil {
			t.Fatal(err)
		}
	}
	append1(1, "after the slots")
	append1(2, "at the end")
	return disk, model
}

func TestDamagedDataFolderIsReadOrRejectedWithRemedy(t *testing.T) {
	// The newest slot is 3, in file slot-1; slot 2 is in slot-0; logs 2 and 3 are left.
	log3 := "log-00000000000000000003"
	for name, one := range map[string]struct {
		harm    func(disk *Disk)
		refused apierror.Kind
	}{
		"newest slot has a flipped bit": {harm: func(disk *Disk) { disk.FlipBit("slot-1", 30) }},
		"older slot has a flipped bit":  {harm: func(disk *Disk) { disk.FlipBit("slot-0", 30) }},
		"both slots are damaged": {harm: func(disk *Disk) {
			disk.FlipBit("slot-0", 30)
			disk.FlipBit("slot-1", 30)
		}, refused: apierror.Damaged},
		"the log's middle is damaged": {harm: func(disk *Disk) { disk.FlipBit(log3, 25) }, refused: apierror.Damaged},
		"the identity is gone":        {harm: func(disk *Disk) { disk.Remove("identity") }, refused: apierror.Damaged},
		"the identity is unreadable":  {harm: func(disk *Disk) { disk.FlipBit("identity", 0) }, refused: apierror.Damaged},
		"the format is newer": {harm: func(disk *Disk) {
			disk.Truncate("identity", 0)
			disk.WriteAt("identity", 0, []byte(`{"name":"store-1","format":99,"role":"store"}`))
		}, refused: apierror.FormatTooNew},
		"the folder is another role's": {harm: func(disk *Disk) {
			disk.Truncate("identity", 0)
			disk.WriteAt("identity", 0, []byte(`{"name":"control-1","format":1,"role":"control"}`))
		}, refused: apierror.BadSettings},
	} {
		disk, model := filledDisk(t)
		one.harm(disk)
		before, _ := disk.List()
		_, records, err := durablelog.Open(disk, "store")
		if one.refused != "" {
			if !apierror.Is(err, one.refused) || apierror.Of(err).Remedy == "" {
				t.Errorf("%s: %v", name, err)
			}
			if after, _ := disk.List(); !slices.Equal(before, after) {
				t.Errorf("%s: files changed from %v to %v", name, before, after)
			}
			continue
		}
		if err != nil || fmt.Sprint(replayed(records)) != fmt.Sprint(model) {
			t.Errorf("%s: %v, replayed %v, want %v", name, err, replayed(records), model)
		}
	}
}

// TestArchiveStartReadsNoEvents keeps the start after an outage short,
// however much was archived.
func TestArchiveStartReadsNoEvents(t *testing.T) {
	disk := NewDisk(1)
	cold, err := archive.Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	stored := 0
	for file := range 20 {
		events := []sessionlog.Event{}
		for seq := range uint64(200) {
			events = append(events, sessionlog.Event{Seq: seq + 1, Text: strings.Repeat("word ", 20)})
			stored += 100
		}
		if err := cold.Put([]wire.ArchiveChunk{{Session: fmt.Sprintf("depot/c-%d", file), First: 1, Last: 200, Events: events}}); err != nil {
			t.Fatal(err)
		}
	}
	disk.TakeRead()
	again, err := archive.Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	if read := disk.TakeRead(); read > stored/50 {
		t.Fatalf("opening read %d bytes of %d stored", read, stored)
	}
	if events := again.Read("depot/c-7", 10, 200); len(events) != 190 || events[0].Seq != 11 {
		t.Fatalf("%d events", len(events))
	}
}
