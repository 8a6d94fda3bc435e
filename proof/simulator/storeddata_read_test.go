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

// unpackFolders puts the stored folders on the disks.
func (cluster *Cluster) unpackFolders(t *testing.T) {
	t.Helper()
	packed, err := os.ReadFile(storedFolders)
	if err != nil {
		t.Fatal(err)
	}
	zipped, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		t.Fatal(err)
	}
	disks := map[string]*Disk{}
	cluster.eachDisk(func(name string, disk *Disk) { disks[name] = disk })
	archive := tar.NewReader(zipped)
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

// TestStoredDataOfEarlierVersionIsRead starts a fleet from the folders that an earlier
// version left on its disks, and finds again all that it held. One control node has a
// snapshot that it received in chunks, another was killed while it received one.
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
				data, err := os.ReadFile(storedExpected)
				if err := errors.Join(err, json.Unmarshal(data, &want)); err != nil {
					t.Fatal(err)
				}
				cluster.joining()
				cluster.unpackFolders(t)
				<-time.After(time.Until(want.Written.Add(time.Second)))
				startAll(t, cluster.Machines())
				cluster.checkStored(t, &want)
			})
		})
	}
}

func (cluster *Cluster) checkStored(t *testing.T, want *storedFleet) {
	t.Helper()
	for _, machine := range cluster.Controls {
		cluster.awaitVotes(t, machine)
	}
	if err := cluster.AwaitForwarding(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	found := storedFleet{Programs: want.Programs, Conversations: want.Conversations, Quotas: map[string]int{}}
	cluster.readStored(t, &found)
	cluster.checkStoredFeed(t, want, &found)
	archived := 0
	for name, stored := range want.Sessions {
		read := found.Sessions[name]
		if read.Session != stored.Session || read.Head != stored.Head || !slices.Equal(read.Events, stored.Events) || read.Archived < stored.Archived {
			t.Errorf("%s is read as\n%+v\nnot\n%+v", name, read, stored)
		}
		archived += int(stored.Archived)
	}
	if len(want.Sessions) == 0 || archived == 0 {
		t.Error("nothing was archived")
	}
	if !maps.Equal(found.Quotas, want.Quotas) || found.Sharing != want.Sharing {
		t.Errorf("tallies %v, %d lines share an opening; want %v, %d", found.Quotas, found.Sharing, want.Quotas, want.Sharing)
	}
	cluster.goOnFromStored(t, want)
}

// checkStoredFeed compares views, the request history and earlier configs.
func (cluster *Cluster) checkStoredFeed(t *testing.T, want, found *storedFleet) {
	t.Helper()
	if found.Fleet != want.Fleet || found.Number < want.Number || found.Config != want.Config || found.Digest != want.Digest || found.Revision != want.Revision {
		t.Errorf("fleet %s, number %d, config %d %s, revision %d; want %s, %d, %d %s, %d", found.Fleet, found.Number, found.Config, found.Digest, found.Revision, want.Fleet, want.Number, want.Config, want.Digest, want.Revision)
	}
	if !slices.Equal(found.Stores, want.Stores) || !slices.Equal(found.Domains, want.Domains) {
		t.Errorf("stores %v, domains %v; want %v, %v", found.Stores, found.Domains, want.Stores, want.Domains)
	}
	cluster.checkSameConfig(t, "started from stored data")
	cluster.repeatAmendments(t)
	if cluster.mustRead(t, historyTimeout).Revision != want.Revision {
		t.Error("an order that was sent again changed the routing")
	}
}

// goOnFromStored continues all stored conversations and programs, and ends the open turn.
func (cluster *Cluster) goOnFromStored(t *testing.T, want *storedFleet) {
	t.Helper()
	for _, one := range want.Once {
		answer, err := cluster.sendReceiptQuery(cluster.Fronts[0], one.Key, one.Words)
		if err != nil || answer.Status != http.StatusOK || string(answer.Body) != one.Body {
			t.Errorf("%s: %v %s, want %s", one.Key, err, answer, one.Body)
		}
		if runs := cluster.executions("dialogue/receipt/" + one.Key); runs != 0 {
			t.Errorf("%s ran again", one.Key)
		}
	}
	for _, conversation := range want.Conversations {
		cluster.converse(t, &conversation, "and now?")
	}
	for _, program := range want.Programs {
		one := &agent{cluster: cluster, program: program.Name, follows: program.Follows, history: program.History, attempts: 100}
		one.turn(t, 0)
		one.check(t)
	}
	cluster.endStoredTurn(t, want)
	if answer, err := cluster.Administer(http.MethodPost, "/v1/query", map[string]any{"text": fmt.Sprintf("restore config %d", want.Earlier)}); err != nil || answer.Status != http.StatusOK {
		t.Fatalf("%v %s", err, answer)
	}
	if source := cluster.leader().Control.View().Source; source != want.EarlierSource {
		t.Errorf("restored the config %s, not %s", source, want.EarlierSource)
	}
}

// endStoredTurn ends the turn that was left open. Until then its reservation counts and no
// turn goes on from it.
func (cluster *Cluster) endStoredTurn(t *testing.T, want *storedFleet) {
	t.Helper()
	client, end := cluster.storeClient("10.8.0.1")
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := client.BeginTurn(ctx, storedTurn("c", "open")); !apierror.Is(err, apierror.NotRun) {
		t.Errorf("a turn went on from an open one: %v", err)
	}
	rest := storedTurn("rest", "b") // two turns used 7 tokens each, and one reserves its most
	rest.MaxOutputTokens = turnQuota - 2*7 - turnLimit + 1
	if _, err := client.BeginTurn(ctx, rest); !apierror.Is(err, apierror.QuotaExhausted) {
		t.Errorf("beyond the allowance: %v", err)
	}
	rest.MaxOutputTokens--
	if _, err := client.BeginTurn(ctx, rest); err != nil {
		t.Errorf("the rest of the allowance: %v", err)
	}
	if err := client.EndTurn(ctx, programTurnEnd("p", "rest", sessionlog.OutcomeComplete, 0, 0)); err != nil {
		t.Errorf("%v", err)
	}
	if err := client.EndTurn(ctx, programTurnEnd("p", "open", sessionlog.OutcomeComplete, want.OpenSeq, 10)); err != nil {
		t.Errorf("the open turn's end: %v", err)
	}
	if begun, err := client.BeginTurn(ctx, storedTurn("c", "open")); err != nil || string(begun.History) != complete("a")+complete("b")+complete("open") {
		t.Errorf("%+v, %v", begun, err)
	}
}
