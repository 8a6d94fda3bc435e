package simulator

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
)

// unpackDisks writes the stored data directories to the disks.
func (cluster *Cluster) unpackDisks(t *testing.T) {
	t.Helper()
	compressed, err := os.ReadFile(storedDisksFile)
	if err != nil {
		t.Fatal(err)
	}
	unzipped, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		t.Fatal(err)
	}
	disks := map[string]*Disk{}
	cluster.eachDisk(func(name string, disk *Disk) { disks[name] = disk })
	archive := tar.NewReader(unzipped)
	for {
		header, err := archive.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(archive)
		disk, found := disks[path.Dir(header.Name)]
		if err != nil || !found {
			t.Fatalf("%s: %v", header.Name, err)
		}
		if err := errors.Join(disk.WriteAt(path.Base(header.Name), 0, data), disk.Sync(path.Base(header.Name))); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStoredDataOfEarlierVersionIsRead starts a fleet from the data directories of an earlier
// version and checks that it reads all of their content. One control node has a snapshot that it
// received in chunks, another was killed while it received one.
func TestStoredDataOfEarlierVersionIsRead(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				cluster, err := assemble(seed, storedShape())
				if err != nil {
					t.Fatal(err)
				}
				defer func() {
					cluster.Stop()
					<-time.After(time.Minute)
				}()
				var want storedFleet
				data, err := os.ReadFile(storedFleetFile)
				if err := errors.Join(err, json.Unmarshal(data, &want)); err != nil {
					t.Fatal(err)
				}
				cluster.joinExistingFleet()
				cluster.unpackDisks(t)
				<-time.After(time.Until(want.Written.Add(time.Second)))
				startAll(t, cluster.Machines())
				cluster.checkStoredFleet(t, &want)
			})
		})
	}
}

func (cluster *Cluster) checkStoredFleet(t *testing.T, want *storedFleet) {
	t.Helper()
	for _, machine := range cluster.Controls {
		cluster.awaitVoter(t, machine)
	}
	if err := cluster.AwaitForwarding(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	got := storedFleet{Programs: want.Programs, Conversations: want.Conversations, Quotas: map[string]int{}}
	cluster.readStoredFleet(t, &got)
	cluster.checkStoredFeed(t, want, &got)
	archived := 0
	for name, stored := range want.Sessions {
		read := got.Sessions[name]
		if read.Session != stored.Session || read.Head != stored.Head || !slices.Equal(read.Events, stored.Events) || read.Archived < stored.Archived {
			t.Errorf("%s: read\n%+v\nwant\n%+v", name, read, stored)
		}
		archived += int(stored.Archived)
	}
	if len(want.Sessions) == 0 || archived == 0 {
		t.Error("no session has archived events")
	}
	if !maps.Equal(got.Quotas, want.Quotas) || got.SharingSessions != want.SharingSessions {
		t.Errorf("quota usage %v, %d sessions share a prefix; want %v, %d", got.Quotas, got.SharingSessions, want.Quotas, want.SharingSessions)
	}
	cluster.continueFromStored(t, want)
}

// checkStoredFeed checks the view, the stores and domains, and that repeated patches are recognized.
func (cluster *Cluster) checkStoredFeed(t *testing.T, want, got *storedFleet) {
	t.Helper()
	if got.Fleet != want.Fleet || got.Number < want.Number || got.Config != want.Config || got.Digest != want.Digest || got.Revision != want.Revision {
		t.Errorf("fleet %s, number %d, config %d %s, revision %d; want %s, %d, %d %s, %d", got.Fleet, got.Number, got.Config, got.Digest, got.Revision, want.Fleet, want.Number, want.Config, want.Digest, want.Revision)
	}
	if !slices.Equal(got.Stores, want.Stores) || !slices.Equal(got.Domains, want.Domains) {
		t.Errorf("stores %v, domains %v; want %v, %v", got.Stores, got.Domains, want.Stores, want.Domains)
	}
	cluster.checkSameConfig(t, "started from stored data")
	cluster.repeatPatches(t)
	if cluster.mustReadRouting(t, historyTimeout).Revision != want.Revision {
		t.Error("a repeated patch changed the routing")
	}
}

// continueFromStored repeats the stored requests, continues all conversations and programs, ends the open
// turn and restores the earlier config.
func (cluster *Cluster) continueFromStored(t *testing.T, want *storedFleet) {
	t.Helper()
	for _, request := range want.Requests {
		answer, err := cluster.sendReceiptQuery(cluster.Fronts[0], request.Key, request.Words)
		if err != nil || answer.Status != http.StatusOK || string(answer.Body) != request.Body {
			t.Errorf("%s: %v %s, want %s", request.Key, err, answer, request.Body)
		}
		if runs := cluster.executions("dialogue/receipt/" + request.Key); runs != 0 {
			t.Errorf("%s ran again", request.Key)
		}
	}
	for _, conversation := range want.Conversations {
		cluster.continueConversation(t, &conversation, "and now?")
	}
	for _, program := range want.Programs {
		member := &agent{cluster: cluster, program: program.Name, follows: program.Follows, history: program.History, attempts: 100}
		member.turn(t, 0)
		member.check(t)
	}
	cluster.endStoredTurn(t, want)
	if answer, err := cluster.Administer(http.MethodPost, "/v1/query", map[string]any{"text": fmt.Sprintf("restore config %d", want.EarlierConfig)}); err != nil || answer.Status != http.StatusOK {
		t.Fatalf("%v %s", err, answer)
	}
	if source := cluster.leader().Control.View().Source; source != want.EarlierSource {
		t.Errorf("restored config is %s, want %s", source, want.EarlierSource)
	}
}

// endStoredTurn ends the turn that was left open. Before, it checks that the turn's reservation counts
// and that no turn can follow it.
func (cluster *Cluster) endStoredTurn(t *testing.T, want *storedFleet) {
	t.Helper()
	client, closeClient := cluster.storeClient("10.8.0.1")
	defer closeClient()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := client.BeginTurn(ctx, storedTurn("c", "open")); !apierror.Is(err, apierror.NotRun) {
		t.Errorf("turn that follows an open one: %v", err)
	}
	rest := storedTurn("rest", "b") // two turns used 7 tokens each, the open one reserves turnLimit
	rest.MaxOutputTokens = turnQuota - 2*7 - turnLimit + 1
	if _, err := client.BeginTurn(ctx, rest); !apierror.Is(err, apierror.QuotaExhausted) {
		t.Errorf("turn beyond the rest of the quota: %v", err)
	}
	rest.MaxOutputTokens--
	if _, err := client.BeginTurn(ctx, rest); err != nil {
		t.Errorf("turn with the rest of the quota: %v", err)
	}
	if err := client.EndTurn(ctx, programTurnEnd("p", "rest", sessionlog.OutcomeComplete, 0, 0)); err != nil {
		t.Errorf("%v", err)
	}
	if err := client.EndTurn(ctx, programTurnEnd("p", "open", sessionlog.OutcomeComplete, want.OpenSeq, 10)); err != nil {
		t.Errorf("end of the open turn: %v", err)
	}
	if begun, err := client.BeginTurn(ctx, storedTurn("c", "open")); err != nil || string(begun.History) != completeTurnText("a")+completeTurnText("b")+completeTurnText("open") {
		t.Errorf("%+v, %v", begun, err)
	}
}
