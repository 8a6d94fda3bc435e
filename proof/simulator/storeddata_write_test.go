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

// storedPatch returns a patch of a routing revision that replaces a number of routes, and its request
// digest. The two operators send different patches of the same revision.
func storedPatch(base uint64, operator, routes int) (config.RoutingPatch, string) {
	patch := config.RoutingPatch{Revision: base + 1}
	for number := range routes {
		route := historyRoute(number, base+uint64(operator))
		route.Shares = []config.WeightedService{{Service: "tools", Weight: 1}}
		patch.Routes = append(patch.Routes, route)
	}
	return patch, fmt.Sprintf("order on %d by %d", base, operator)
}

func (cluster *Cluster) sendPatch(from int, base uint64, operator, routes int) error {
	patch, digest := storedPatch(base, operator, routes)
	return cluster.requestChange(from, historyTimeout, func(ctx context.Context, node *controlplane.Node) error {
		return node.PatchRouting(ctx, "root", base, patch, digest)
	})
}

// storedPatchSizes are the numbers of routes in the patches, which are applied from the first routing
// revision on.
var storedPatchSizes = []int{1, 2, storedRoutes, 1}

// receiveSnapshots lets one control node receive a complete snapshot and kills another one while it
// receives one.
func (cluster *Cluster) receiveSnapshots(t *testing.T) {
	t.Helper()
	cluster.joinExistingFleet()
	recipient, interrupted := cluster.Controls[1], cluster.Controls[2]
	recipient.Kill()
	<-time.After(time.Second) // until pending writes have ended
	recipient.Wipe()
	mustStart(t, recipient)
	cluster.awaitVoter(t, recipient)
	cluster.eachOtherControl(interrupted, func(other *Machine) { cluster.Network.Slow(other.Host, interrupted.Host, slowLinkDelay) })
	for attempt := 1; ; attempt++ {
		interrupted.Kill()
		<-time.After(time.Second)
		interrupted.Wipe()
		mustStart(t, interrupted)
		// The node first writes that it has joined. A round trip later it receives the chunks,
		// which it holds in memory until they are complete.
		for syncs := interrupted.Disk.Syncs(); interrupted.Disk.Syncs() == syncs; {
			<-time.After(time.Millisecond)
		}
		<-time.After(2*slowLinkDelay - 5*time.Millisecond)
		if interrupted.Control.View().ConfigNumber == 0 {
			break
		}
		if attempt == 20 {
			t.Fatal("the node was never killed while it received the snapshot")
		}
	}
	interrupted.Kill()
	cluster.eachOtherControl(interrupted, func(other *Machine) { cluster.Network.Heal(other.Host, interrupted.Host) })
}

// TestStoredDataIsWritten writes the data directories and the expectation:
//
//	WRITE_STORED_DATA=1 go test ./simulator -run TestStoredDataIsWritten
//
// The files stay as the earlier version wrote them and are never overwritten. For a later addition
// to a format, write new files under other names beside them.
func TestStoredDataIsWritten(t *testing.T) {
	if os.Getenv("WRITE_STORED_DATA") == "" {
		t.Skip("writes test data; set WRITE_STORED_DATA to run it")
	}
	synctest.Test(t, func(t *testing.T) {
		if _, err := os.Stat(storedDisksFile); err == nil {
			t.Fatal("the stored data exists and must not be overwritten")
		}
		cluster, err := assemble(storedSeed, storedShape())
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			cluster.Stop()
			<-time.After(time.Minute)
		}()
		// Low limits, so that snapshots and compactions happen after few writes.
		cluster.adjustReplica = func(settings *replica.Settings) { settings.SnapshotEntries, settings.CompactionBytes = 5, 64<<10 }
		if err := cluster.bootstrap(strings.Replace(storedConfig, "allowance: 60", "allowance: 61", 1)); err != nil {
			t.Fatal(err)
		}
		fleet := cluster.writeStoredFleet(t)
		for _, machine := range cluster.Machines() {
			machine.Kill()
		}
		<-time.After(time.Second)
		fleet.Written = time.Now()
		expected, err := json.MarshalIndent(fleet, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		for name, data := range map[string][]byte{storedFleetFile: append(expected, '\n'), storedDisksFile: cluster.packDisks(t)} {
			if err := errors.Join(os.MkdirAll(path.Dir(name), 0o755), os.WriteFile(name, data, 0o644)); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func (cluster *Cluster) writeStoredFleet(t *testing.T) storedFleet {
	t.Helper()
	if err := cluster.AwaitForwarding(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	earlier := cluster.leader().Control.View()
	fleet := storedFleet{Quotas: map[string]int{}, EarlierConfig: earlier.ConfigNumber, EarlierSource: earlier.Source}
	if err := cluster.PutConfig(storedConfig); err != nil {
		t.Fatal(err)
	}
	cluster.sendStoredPatches(t)
	if answer, err := cluster.Administer(http.MethodPost, "/v1/domains/west", map[string]any{"state": feed.StateDrained}); err != nil || answer.Status != http.StatusOK {
		t.Fatalf("%v %s", err, answer)
	}
	cluster.repeatPatches(t)

	prefix, agents := pseudoRandomText(7, 2560), []*agent{}
	for _, program := range programsInGroup(storedGroup, "first", 4) {
		agents = append(agents, &agent{cluster: cluster, program: program, prefix: prefix})
	}
	for round := range 2 {
		for _, one := range agents {
			one.turn(t, round)
		}
	}
	agents = append(agents, cluster.awaitMergedPrefix(t, storedGroup, 3, prefix)...)
	for number := range 3 {
		conversation := storedConversation{}
		cluster.continueConversation(t, &conversation, fmt.Sprintf("hello %d", number))
		cluster.continueConversation(t, &conversation, "and then?")
		fleet.Conversations = append(fleet.Conversations, conversation)
	}
	for number := range 3 {
		fleet.Requests = append(fleet.Requests, cluster.sendStoredRequest(t, number))
	}
	cluster.writeStoredTurns(t, &fleet)
	cluster.Sleep(25 * time.Second) // until everything is archived
	cluster.receiveSnapshots(t)
	for _, one := range agents[:2] { // these get events that are not archived
		one.turn(t, 0)
	}
	cluster.continueConversation(t, &fleet.Conversations[0], "what else?")
	for _, one := range agents {
		one.check(t)
		fleet.Programs = append(fleet.Programs, storedProgram{one.program, one.follows, one.history, len(one.complete)})
	}
	cluster.readStoredFleet(t, &fleet)
	return fleet
}

// sendStoredPatches sends the patches in order, each based on the revision before it.
func (cluster *Cluster) sendStoredPatches(t *testing.T) {
	t.Helper()
	for index, routes := range storedPatchSizes {
		if err := cluster.sendPatch(0, uint64(index+1), 0, routes); err != nil {
			t.Fatal(err)
		}
	}
}

// sendStoredRequest sends a request with its own key and returns the answer that a repetition must get.
func (cluster *Cluster) sendStoredRequest(t *testing.T, number int) storedRequest {
	t.Helper()
	request := storedRequest{Key: fmt.Sprintf("stored-%d", number), Words: "pay"}
	answer, err := cluster.sendReceiptQuery(cluster.Fronts[number%2], request.Key, request.Words)
	if err != nil || answer.Status != http.StatusOK {
		t.Fatalf("%v %s", err, answer)
	}
	// The answer to a repeated request differs only in its marker.
	request.Body = strings.Replace(string(answer.Body), `"repeated":false`, `"repeated":true`, 1)
	return request
}

// writeStoredTurns takes turns through a store client and leaves the last one open.
func (cluster *Cluster) writeStoredTurns(t *testing.T, fleet *storedFleet) {
	t.Helper()
	client, closeClient := cluster.storeClient("10.8.0.1")
	defer closeClient()
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

// packDisks returns the durable content of all disks as a compressed archive.
func (cluster *Cluster) packDisks(t *testing.T) []byte {
	t.Helper()
	compressed := &bytes.Buffer{}
	zipped, err := gzip.NewWriterLevel(compressed, gzip.BestCompression)
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
	return compressed.Bytes()
}
