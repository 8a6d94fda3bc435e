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

// latestByGroup returns the last value of each group, which is the one that a node restores.
func latestByGroup(records []durablelog.Record) map[uint32]string {
	latest := map[uint32]string{}
	for _, record := range records {
		latest[record.Group] = string(record.Data)
	}
	return latest
}

func TestSyncedRecordsSurvivePowerLoss(t *testing.T) {
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
		for index, step := range steps {
			switch {
			case step < 140:
				record := durablelog.Record{Group: uint32(step % 7), Kind: 1, Data: fmt.Appendf(nil, "value %d", index)}
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
			case step < 200: // a failed write is retried
				record := durablelog.Record{Group: uint32(step % 7), Kind: 1, Data: fmt.Appendf(nil, "retried %d", index)}
				disk.Fill(true)
				if log.Append([]durablelog.Record{record}) == nil {
					return "a write to a full disk succeeded"
				}
				disk.Fill(false)
				if err := log.Append([]durablelog.Record{record}); err != nil {
					return err.Error()
				}
				model[record.Group] = string(record.Data)
			default: // power is lost during a write
				disk.writePartialFrame(log)
				disk.LosePower()
				var records []durablelog.Record
				log, records, err = durablelog.Open(disk, "store")
				if err != nil {
					return fmt.Sprintf("step %d: %v", index, err)
				}
				if got := latestByGroup(records); fmt.Sprint(got) != fmt.Sprint(model) {
					return fmt.Sprintf("step %d: replayed %v, want %v", index, got, model)
				}
				if log.Identity().Name != name {
					return "the identity changed its name"
				}
			}
		}
		return ""
	}, gen.UInt64(), gen.SliceOfN(60, gen.UInt8())))
	properties.TestingRun(t)
}

// writePartialFrame appends an incomplete frame without syncing it, as a process that dies during a
// write leaves it.
func (disk *Disk) writePartialFrame(log *durablelog.Log) {
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

func populatedDisk(t *testing.T) (*Disk, map[uint32]string) {
	t.Helper()
	disk := NewDisk(1)
	log, _, err := durablelog.Open(disk, "store")
	if err != nil {
		t.Fatal(err)
	}
	model := map[uint32]string{}
	appendRecord := func(group uint32, value string) {
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
			appendRecord(group, fmt.Sprintf("round %d", round))
		}
		if err := log.WriteSnapshot(slices.Values(snapshot())); err != nil {
			t.Fatal(err)
		}
	}
	appendRecord(1, "after the slots")
	appendRecord(2, "at the end")
	return disk, model
}

func TestDamagedDataDirectoryIsReadOrRejectedWithRemedy(t *testing.T) {
	// The newest snapshot is 3, in file slot-1; slot-0 holds snapshot 2; logs 2 and 3 remain.
	log3 := "log-00000000000000000003"
	for name, test := range map[string]struct {
		damage   func(disk *Disk)
		wantKind apierror.Kind
	}{
		"newest slot has a flipped bit": {damage: func(disk *Disk) { disk.FlipBit("slot-1", 30) }},
		"older slot has a flipped bit":  {damage: func(disk *Disk) { disk.FlipBit("slot-0", 30) }},
		"both slots are damaged": {damage: func(disk *Disk) {
			disk.FlipBit("slot-0", 30)
			disk.FlipBit("slot-1", 30)
		}, wantKind: apierror.Damaged},
		"the middle of the log is damaged": {damage: func(disk *Disk) { disk.FlipBit(log3, 25) }, wantKind: apierror.Damaged},
		"the identity is missing":          {damage: func(disk *Disk) { disk.Remove("identity") }, wantKind: apierror.Damaged},
		"the identity is unreadable":       {damage: func(disk *Disk) { disk.FlipBit("identity", 0) }, wantKind: apierror.Damaged},
		"the format is newer": {damage: func(disk *Disk) {
			disk.Truncate("identity", 0)
			disk.WriteAt("identity", 0, []byte(`{"name":"store-1","format":99,"role":"store"}`))
		}, wantKind: apierror.FormatTooNew},
		"the directory belongs to another role": {damage: func(disk *Disk) {
			disk.Truncate("identity", 0)
			disk.WriteAt("identity", 0, []byte(`{"name":"control-1","format":1,"role":"control"}`))
		}, wantKind: apierror.BadSettings},
	} {
		disk, model := populatedDisk(t)
		test.damage(disk)
		before, _ := disk.List()
		_, records, err := durablelog.Open(disk, "store")
		if test.wantKind != "" {
			if !apierror.Is(err, test.wantKind) || apierror.Of(err).Remedy == "" {
				t.Errorf("%s: %v", name, err)
			}
			if after, _ := disk.List(); !slices.Equal(before, after) {
				t.Errorf("%s: files changed from %v to %v", name, before, after)
			}
			continue
		}
		if err != nil || fmt.Sprint(latestByGroup(records)) != fmt.Sprint(model) {
			t.Errorf("%s: %v, replayed %v, want %v", name, err, latestByGroup(records), model)
		}
	}
}

// TestArchiveStartReadsNoEvents checks that opening an archive reads almost none of its content, so
// that the start after an outage stays short however much is archived.
func TestArchiveStartReadsNoEvents(t *testing.T) {
	disk := NewDisk(1)
	opened, err := archive.Open(disk)
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
		if err := opened.Put([]wire.ArchiveChunk{{Session: fmt.Sprintf("depot/c-%d", file), First: 1, Last: 200, Events: events}}); err != nil {
			t.Fatal(err)
		}
	}
	disk.TakeRead()
	reopened, err := archive.Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	if read := disk.TakeRead(); read > stored/50 {
		t.Fatalf("opening the archive read %d of %d stored bytes", read, stored)
	}
	if events := reopened.Read("depot/c-7", 10, 200); len(events) != 190 || events[0].Seq != 11 {
		t.Fatalf("read %d events, want 190 from number 11 on", len(events))
	}
}
