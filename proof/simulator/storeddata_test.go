package simulator

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
	"yardrock.example/system/replica"
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
)

// The data folders of all control nodes and stores of a fleet, and what they must be found
// to hold. TestStoredDataIsWritten makes both.
const (
	storedFolders  = "testdata/stored/folders.tar.gz"
	storedExpected = "testdata/stored/expected.json"
)

const (
	storedSeed   = 7
	storedGroup  = 3
	storedRoutes = 2000
)

// storedShape is a fleet that takes in control nodes with empty disks by itself.
func storedShape() Shape {
	return Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 2, Applications: 2, Engines: 2, Tools: 2, AutoEnrol: true,
		Adjust: func(_ *Cluster, settings *controlplane.Settings) { settings.MaxControls = 3 }}
}

// joining has control nodes that start from now on join the fleet that is there.
func (cluster *Cluster) joining() {
	cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) {
		settings.MaxControls, settings.JoinExisting = 3, true
	}
}

var storedConfig = strings.ReplaceAll(sharingConfig, `keep: "60s"`, `keep: "1h"`)

// storedSession is a session with its events, described.
type storedSession struct {
	Session  string   `json:"session"`
	Head     uint64   `json:"head"`
	Archived uint64   `json:"archived"`
	Events   []string `json:"events"`
}

type storedMessage struct {
	Role  string `json:"role"`
	Words string `json:"words"`
}

type storedConversation struct {
	Name    string          `json:"name"`
	Turn    uint64          `json:"turn"`
	History []storedMessage `json:"history"`
}

type storedProgram struct {
	Name    string `json:"name"`
	Follows string `json:"follows"`
	History string `json:"history"`
	Taken   int    `json:"taken"`
}

type storedOnce struct {
	Key   string `json:"key"`
	Words string `json:"words"`
	Body  string `json:"body"`
}

type storedFleet struct {
	Written time.Time `json:"written"`
	Fleet   string    `json:"fleet"`
	Number  uint64    `json:"number"`
	// Config is the number of the config in force, Digest its digest, Revision that of its
	// routing.
	Config   uint64 `json:"config"`
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"`
	// Earlier is the number of a config that was in force before.
	Earlier       uint64                   `json:"earlier"`
	EarlierSource string                   `json:"earlier_source"`
	Stores        []string                 `json:"stores"`
	Domains       []string                 `json:"domains"`
	Sessions      map[string]storedSession `json:"lines"`
	Quotas        map[string]int           `json:"tallies"`
	Conversations []storedConversation     `json:"conversations"`
	Programs      []storedProgram          `json:"programs"`
	Once          []storedOnce             `json:"once"`
	Sharing       uint64                   `json:"sharing"`
	OpenSeq       uint64                   `json:"open_seq"`
}

// describedSession tells what a quorum read gives of a session, all but how far it is
// archived, which goes on.
func describedSession(session sessionlog.Session) string {
	return fmt.Sprintf("%s team %q program %q kind %q created %d keep %s touched %d until %d spent %d reserved %d openings %v", session.Name, session.Team, session.Program, session.WorkKind,
		session.CreatedAt, session.Retention, session.UpdatedAt, session.RetainUntil, session.Spent, session.Reserved, session.Prefixes)
}

func describedEvent(event sessionlog.Event) string {
	return fmt.Sprintf("%d at %d kind %d turn %d follows %d words %q outcome %q runner %q dispatch %q digest %q name %q part %d producer %q %d config %d deadline %d opening %q data %x",
		event.Seq, event.At, event.Kind, event.Turn, event.Follows, event.Text, event.Outcome, event.Runner, event.Dispatch, event.Digest, event.Name, event.Part, event.Producer, event.ProducerSeq,
		event.Config, event.Deadline, event.Prefix, sha256.Sum256(event.Data))
}

// storedSessions reads lines whole, as a client does.
func (cluster *Cluster) storedSessions(t *testing.T, names []string) map[string]storedSession {
	t.Helper()
	client, end := cluster.storeClient("10.8.0.2")
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	read := map[string]storedSession{}
	for _, name := range names {
		events, last, err := client.ReadAll(ctx, name)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		described := storedSession{Session: describedSession(last.Session), Head: last.Session.Head, Archived: last.Session.ArchivedSeq}
		for _, event := range events {
			described.Events = append(described.Events, describedEvent(event))
		}
		read[name] = described
	}
	return read
}

// storedAmendment is an order on a revision of the routing, as one of two operators sends
// it; it brings so many routes.
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

// repeatAmendments sends each amendment again, which is acknowledged, and another one on the
// same base, which is refused.
func (cluster *Cluster) repeatAmendments(t *testing.T) {
	t.Helper()
	for position, routes := range storedRevisions {
		base := uint64(position + 1)
		for from := range cluster.Controls {
			if err := cluster.sendAmendment(from, base, 0, routes); err != nil {
				t.Errorf("the acknowledged order on %d again, at %d: %v", base, from, err)
			}
			if err := cluster.sendAmendment(from, base, 1, routes); !apierror.Is(err, apierror.Conflict) {
				t.Errorf("another order on %d, at %d: %v", base, from, err)
			}
		}
	}
}

func (cluster *Cluster) awaitVotes(t *testing.T, machine *Machine) {
	t.Helper()
	if err := cluster.Await(30*time.Second, "vote of "+machine.Host, func() error {
		if voting := cluster.votingControls(); !slices.Contains(voting, machine.Host+" "+machine.Control.Name()) {
			return fmt.Errorf("voting: %v", voting)
		}
		if buffered, newest := machine.Control.View().Number, cluster.leader().Control.View().Number; buffered < newest {
			return fmt.Errorf("it holds change %d of %d", buffered, newest)
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
}

// receiveSnapshots has one control node receive a snapshot whole, and kills another while
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
	cluster.eachOtherControl(halfWay, func(other *Machine) { cluster.Network.Slow(other.Host, halfWay.Host, slowWay) })
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
		<-time.After(2*slowWay - 5*time.Millisecond)
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
		if err := cluster.found(strings.Replace(storedConfig, "allowance: 60", "allowance: 61", 1)); err != nil {
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
	for position, routes := range storedRevisions[:len(storedRevisions)-1] {
		if err := cluster.sendAmendment(0, uint64(position+1), 0, routes); err != nil {
			t.Fatal(err)
		}
	}
	if err := cluster.sendAmendment(0, uint64(len(storedRevisions)), 0, storedRevisions[len(storedRevisions)-1]); err != nil {
		t.Fatal(err)
	}
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
		one := storedOnce{Key: fmt.Sprintf("stored-%d", number), Words: "pay"}
		answer, err := cluster.once(cluster.Fronts[number%2], one.Key, one.Words)
		if err != nil || answer.Status != http.StatusOK {
			t.Fatalf("%v %s", err, answer)
		}
		// The answer that later queries of that key get as well.
		one.Body = strings.Replace(string(answer.Body), `"repeated":false`, `"repeated":true`, 1)
		fleet.Once = append(fleet.Once, one)
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

func storedTurn(name, follows string) (turn storeclient.Turn) {
	turn = programTurn("p", name, follows)
	turn.Retention, turn.Lifetime = time.Hour, time.Hour
	return turn
}

// converse takes a turn of a dialogue and checks what its model heard.
func (cluster *Cluster) converse(t *testing.T, conversation *storedConversation, words string) {
	t.Helper()
	body := map[string]any{"program": "dialogue", "kind": "talk", "words": words}
	if conversation.Name != "" {
		body = map[string]any{"conversation": conversation.Name, "follows": conversation.Turn, "kind": "talk", "words": words}
	}
	said, err := cluster.Turn(cluster.Fronts[0], body)
	if err != nil {
		t.Fatalf("%s: %v", conversation.Name, err)
	}
	history := []runnerclient.Message{}
	for _, one := range conversation.History {
		history = append(history, runnerclient.Message{Role: one.Role, Words: one.Words})
	}
	if want := strings.Join(standin.Answer(history, words), ""); said.Words != want {
		t.Fatalf("%s heard %q, want %q", conversation.Name, said.Words, want)
	}
	conversation.Name, conversation.Turn = said.Conversation, said.Turn
	conversation.History = append(conversation.History, storedMessage{"caller", words}, storedMessage{"model", said.Words})
}

// readStored reads all that the fleet holds and that is compared as it is.
func (cluster *Cluster) readStored(t *testing.T, fleet *storedFleet) {
	t.Helper()
	fleet.Revision = cluster.mustRead(t, historyTimeout).Revision
	view := cluster.leader().Control.View()
	fleet.Fleet, fleet.Number, fleet.Config, fleet.Digest = view.Fleet, view.Number, view.ConfigNumber, fmt.Sprintf("%x", feed.ConfigDigest(view.Source, view.Compiled))
	fleet.Stores, fleet.Domains = nil, nil
	for _, store := range view.Stores {
		fleet.Stores = append(fleet.Stores, store.Name+" "+store.Address+" "+store.Domain+" "+store.Machine)
	}
	for _, domain := range view.Domains {
		fleet.Domains = append(fleet.Domains, domain.Name+" "+domain.State)
	}
	names := []string{"program/p"}
	for _, program := range fleet.Programs {
		names = append(names, "program/"+program.Name)
	}
	for _, conversation := range fleet.Conversations {
		names = append(names, "depot/"+conversation.Name)
	}
	fleet.Sessions = cluster.storedSessions(t, names)
	for _, program := range []string{"dialogue", "tight"} {
		reported, err := cluster.quota(cluster.Fronts[0], program)
		if err != nil {
			t.Fatal(err)
		}
		fleet.Quotas[program] = reported.Spent
	}
	fleet.Sharing, _, _ = cluster.sharing(t, storedGroup)
}

// packFolders packs what lasts on all disks.
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

func (cluster *Cluster) eachDisk(visit func(name string, disk *Disk)) {
	for _, machine := range slices.Concat(cluster.Controls, cluster.Stores) {
		visit(machine.Host+"/data", machine.Disk)
		if machine.Archive != nil {
			visit(machine.Host+"/archive", machine.Archive)
		}
	}
}

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
		if err == io.EOF {
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

// goOnFromStored goes on from all that was said, and finishes what was open.
func (cluster *Cluster) goOnFromStored(t *testing.T, want *storedFleet) {
	t.Helper()
	for _, one := range want.Once {
		answer, err := cluster.once(cluster.Fronts[0], one.Key, one.Words)
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
	if answer, err := cluster.Administer(http.MethodPost, "/v1/query", map[string]any{"text": fmt.Sprintf("restore config %d", want.Earlier)}); err != nil || answer.Status != http.StatusOK {
		t.Fatalf("%v %s", err, answer)
	}
	if source := cluster.leader().Control.View().Source; source != want.EarlierSource {
		t.Errorf("restored the config %s, not %s", source, want.EarlierSource)
	}
}
