package simulator

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
	"yardrock.example/system/replica"
	"yardrock.example/system/sessionlog"
)

// storedAmendment returns an amendment of a revision of the routing with a number of routes, as
// one of two operators sends it.
func storedAmendment(base uint64, operator, routes int) (config.RoutingPatch, string) {
	amendment := config.RoutingPatch{Revision: base + 1}
	for number := range routes {
		route := historyRoute(number, base+uint64(operator))
		route.Shares = []config.WeightedService{{Service: "tools", Weight: 1}}
		amendment.Routes = append(amendment.Routes, route)
	}
	return amendment, fmt.Sprintf("order on %d by %d", base, operator)
}

func (cluster *Cluster) sendAmendment(from int, base uint64, operator, routes int) error {
	amendment, digest := storedAmendment(base, operator, routes)
	return cluster.requestChange(from, historyTimeout, func(ctx context.Context, node *controlplane.Node) error {
		return node.PatchRouting(ctx, "root", base, amendment, digest)
	})
}

// storedRevisions are the amendments of the routing, from its first revision on: the number
// of routes that each brings.
var storedRevisions = []int{1, 2, storedRoutes, 1}

// receiveSnapshots lets one control node receive a complete snapshot, and kills another one while
// it receives the chunks of one.
func (cluster *Cluster) receiveSnapshots(t *testing.T) {
	t.Helper()
	cluster.joining()
	received, halfWay := cluster.Controls[1], cluster.Controls[2]
	received.Kill()
	<-time.After(time.Second) // a write that had begun has ended
	received.Wipe()
	mustStart(t, received)
	cluster.awaitVotes(t, received)
	cluster.eachOtherControl(halfWay, func(other *Machine) { cluster.Network.Slow(other.Host, halfWay.Host, slowLinkDelay) })
	for attempt := 1; ; attempt++ {
		halfWay.Kill()
		<-time.After(time.Second)
		halfWay.Wipe()
		mustStart(t, halfWay)
		// It first writes that it is taken in, and a round trip later it has the chunks, which
		// it keeps in memory until they are all there.
		for syncs := halfWay.Disk.Syncs(); halfWay.Disk.Syncs() == syncs; {
			<-time.After(time.Millisecond)
		}
		<-time.After(2*slowLinkDelay - 5*time.Millisecond)
		if halfWay.Control.View().ConfigNumber == 0 {
			break
		}
		if attempt == 20 {
			t.Fatal("no kill came while the snapshot was received")
		}
	}
	halfWay.Kill()
	cluster.eachOtherControl(halfWay, func(other *Machine) { cluster.Network.Heal(other.Host, halfWay.Host) })
}

// TestStoredDataIsWritten writes the folders and what they hold, with
//
//	WRITE_STORED_DATA=1 go test ./simulator -run TestStoredDataIsWritten
//
// They are to stay as the version that first had this test wrote them, and are not
// overwritten: for what a format gets later, write others beside them, under other names.
func TestStoredDataIsWritten(t *testing.T) {
	if os.Getenv("WRITE_STORED_DATA") == "" {
		t.Skip("it writes test data; set WRITE_STORED_DATA to have it do so")
	}
	synctest.Test(t, func(t *testing.T) {
		if _, err := os.Stat(storedFolders); err == nil {
			t.Fatal("the folders are there, and are not to be overwritten")
		}
		cluster, err := assemble(storedSeed, storedShape())
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			cluster.Stop()
			<-time.After(time.Minute)
		}()
		// Snapshots and slots are made after little.
		cluster.adjustReplica = func(settings *replica.Settings) { settings.SnapshotEntries, settings.CompactionBytes = 5, 64<<10 }
		if err := cluster.bootstrap(strings.Replace(storedConfig, "allowance: 60", "allowance: 61", 1)); err != nil {
			t.Fatal(err)
		}
		fleet := cluster.fillStored(t)
		for _, machine := range cluster.Machines() {
			machine.Kill()
		}
		<-time.After(time.Second)
		fleet.Written = time.Now()
		expected, err := json.MarshalIndent(fleet, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		for name, data := range map[string][]byte{storedExpected: append(expected, '\n'), storedFolders: cluster.packFolders(t)} {
			if err := errors.Join(os.MkdirAll(path.Dir(name), 0o755), os.WriteFile(name, data, 0o644)); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func (cluster *Cluster) fillStored(t *testing.T) storedFleet {
	t.Helper()
	if err := cluster.AwaitForwarding(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	earlier := cluster.leader().Control.View()
	fleet := storedFleet{Quotas: map[string]int{}, Earlier: earlier.ConfigNumber, EarlierSource: earlier.Source}
	if err := cluster.PutConfig(storedConfig); err != nil {
		t.Fatal(err)
	}
	cluster.sendStoredRevisions(t)
	if answer, err := cluster.Administer(http.MethodPost, "/v1/domains/west", map[string]any{"state": feed.StateDrained}); err != nil || answer.Status != http.StatusOK {
		t.Fatalf("%v %s", err, answer)
	}
	cluster.repeatAmendments(t)

	prefix, agents := prose(7, 2560), []*agent{}
	for _, program := range programsOf(storedGroup, "first", 4) {
		agents = append(agents, &agent{cluster: cluster, program: program, prefix: prefix})
	}
	for round := range 2 {
		for _, one := range agents {
			one.turn(t, round)
		}
	}
	agents = append(agents, cluster.awaitMerged(t, storedGroup, 3, prefix)...)
	for number := range 3 {
		conversation := storedConversation{}
		cluster.converse(t, &conversation, fmt.Sprintf("hello %d", number))
		cluster.converse(t, &conversation, "and then?")
		fleet.Conversations = append(fleet.Conversations, conversation)
	}
	for number := range 3 {
		fleet.Once = append(fleet.Once, cluster.askStoredOnce(t, number))
	}
	cluster.storedTurns(t, &fleet)
	cluster.Sleep(25 * time.Second) // all of it is archived
	cluster.receiveSnapshots(t)
	for _, one := range agents[:2] { // and these go on with events that are not
		one.turn(t, 0)
	}
	cluster.converse(t, &fleet.Conversations[0], "what else?")
	for _, one := range agents {
		one.check(t)
		fleet.Programs = append(fleet.Programs, storedProgram{one.program, one.follows, one.history, len(one.complete)})
	}
	cluster.readStored(t, &fleet)
	return fleet
}

// sendStoredRevisions sends the amendments of the routing, one on another.
func (cluster *Cluster) sendStoredRevisions(t *testing.T) {
	t.Helper()
	for position, routes := range storedRevisions {
		if err := cluster.sendAmendment(0, uint64(position+1), 0, routes); err != nil {
			t.Fatal(err)
		}
	}
}

// askStoredOnce sends a request under a key of its own, which later ones repeat.
func (cluster *Cluster) askStoredOnce(t *testing.T, number int) storedOnce {
	t.Helper()
	one := storedOnce{Key: fmt.Sprintf("stored-%d", number), Words: "pay"}
	answer, err := cluster.sendReceiptQuery(cluster.Fronts[number%2], one.Key, one.Words)
	if err != nil || answer.Status != http.StatusOK {
		t.Fatalf("%v %s", err, answer)
	}
	// The answer that later queries of that key get as well.
	one.Body = strings.Replace(string(answer.Body), `"repeated":false`, `"repeated":true`, 1)
	return one
}

// storedTurns has a client take turns, of which the last stays open.
func (cluster *Cluster) storedTurns(t *testing.T, fleet *storedFleet) {
	t.Helper()
	client, end := cluster.storeClient("10.8.0.1")
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	follows := ""
	for _, name := range []string{"a", "b"} {
		begun, err := client.BeginTurn(ctx, storedTurn(name, follows))
		if err != nil {
			t.Fatal(err)
		}
		if err := client.EndTurn(ctx, programTurnEnd("p", name, sessionlog.OutcomeComplete, begun.Seq, 7)); err != nil {
			t.Fatal(err)
		}
		follows = name
	}
	begun, err := client.BeginTurn(ctx, storedTurn("open", "b"))
	if err != nil {
		t.Fatal(err)
	}
	fleet.OpenSeq = begun.Seq
}

// packFolders packs the durable content of all disks.
func (cluster *Cluster) packFolders(t *testing.T) []byte {
	t.Helper()
	packed := &bytes.Buffer{}
	zipped, err := gzip.NewWriterLevel(packed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	archive := tar.NewWriter(zipped)
	cluster.eachDisk(func(name string, disk *Disk) {
		for _, file := range slices.Sorted(maps.Keys(disk.durable)) {
			data := disk.durable[file]
			t.Logf("%s/%s: %d bytes", name, file, len(data))
			if err := archive.WriteHeader(&tar.Header{Name: name + "/" + file, Mode: 0o644, Size: int64(len(data))}); err != nil {
				t.Fatal(err)
			}
			if _, err := archive.Write(data); err != nil {
				t.Fatal(err)
			}
		}
	})
	if err := errors.Join(archive.Close(), zipped.Close()); err != nil {
		t.Fatal(err)
	}
	return packed.Bytes()
}
