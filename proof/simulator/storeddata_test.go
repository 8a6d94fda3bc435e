package simulator

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
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

// describedSession returns what a quorum read gives of a session, all but how far it is
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

// storedSessions reads complete sessions, as a client does.
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

func storedTurn(name, follows string) (turn storeclient.Turn) {
	turn = programTurn("p", name, follows)
	turn.Retention, turn.Lifetime = time.Hour, time.Hour
	return turn
}

// converse takes a turn of a dialogue and checks the history that its model got.
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
		history = append(history, runnerclient.Message{Role: one.Role, Text: one.Words})
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

func (cluster *Cluster) eachDisk(visit func(name string, disk *Disk)) {
	for _, machine := range slices.Concat(cluster.Controls, cluster.Stores) {
		visit(machine.Host+"/data", machine.Disk)
		if machine.Archive != nil {
			visit(machine.Host+"/archive", machine.Archive)
		}
	}
}
