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

// The packed data directories of all control nodes and stores of a fleet, and the state that must be
// read from them. TestStoredDataIsWritten writes both files.
const (
	storedDisksFile = "testdata/stored/folders.tar.gz"
	storedFleetFile = "testdata/stored/expected.json"
)

const (
	storedSeed   = 7
	storedGroup  = 3
	storedRoutes = 2000
)

// storedShape is a fleet that enrols nodes automatically, also control nodes with empty disks.
func storedShape() Shape {
	return Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 2, Applications: 2, Engines: 2, Tools: 2, AutoEnrol: true,
		Adjust: func(_ *Cluster, settings *controlplane.Settings) { settings.MaxControls = 3 }}
}

// joinExistingFleet makes control nodes that start from now on join the existing fleet.
func (cluster *Cluster) joinExistingFleet() {
	cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) {
		settings.MaxControls, settings.JoinExisting = 3, true
	}
}

var storedConfig = strings.ReplaceAll(sharingConfig, `keep: "60s"`, `keep: "1h"`)

// storedSession holds a session and its events in the form of describeSession and describeEvent.
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
	Name           string `json:"name"`
	Follows        string `json:"follows"`
	History        string `json:"history"`
	CompletedTurns int    `json:"taken"`
}

type storedRequest struct {
	Key   string `json:"key"`
	Words string `json:"words"`
	Body  string `json:"body"`
}

type storedFleet struct {
	Written time.Time `json:"written"`
	Fleet   string    `json:"fleet"`
	Number  uint64    `json:"number"`
	// Config is the number of the config in force, Digest its digest, Revision its routing
	// revision.
	Config   uint64 `json:"config"`
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"`
	// EarlierConfig is the number of an earlier config, EarlierSource its source.
	EarlierConfig   uint64                   `json:"earlier"`
	EarlierSource   string                   `json:"earlier_source"`
	Stores          []string                 `json:"stores"`
	Domains         []string                 `json:"domains"`
	Sessions        map[string]storedSession `json:"lines"`
	Quotas          map[string]int           `json:"tallies"`
	Conversations   []storedConversation     `json:"conversations"`
	Programs        []storedProgram          `json:"programs"`
	Requests        []storedRequest          `json:"once"`
	SharingSessions uint64                   `json:"sharing"`
	OpenSeq         uint64                   `json:"open_seq"`
}

// describeSession describes a session as returned by a quorum read, except how far it is archived, as
// archiving continues. The format is part of the stored expectation, like that of describeEvent.
func describeSession(session sessionlog.Session) string {
	return fmt.Sprintf("%s team %q program %q kind %q created %d keep %s touched %d until %d spent %d reserved %d openings %v", session.Name, session.Team, session.Program, session.WorkKind,
		session.CreatedAt, session.Retention, session.UpdatedAt, session.RetainUntil, session.Spent, session.Reserved, session.Prefixes)
}

func describeEvent(event sessionlog.Event) string {
	return fmt.Sprintf("%d at %d kind %d turn %d follows %d words %q outcome %q runner %q dispatch %q digest %q name %q part %d producer %q %d config %d deadline %d opening %q data %x",
		event.Seq, event.At, event.Kind, event.Run, event.Follows, event.Text, event.Outcome, event.Runner, event.Dispatch, event.Digest, event.Name, event.Part, event.Producer, event.ProducerSeq,
		event.Config, event.Deadline, event.Prefix, sha256.Sum256(event.Data))
}

// readSessions reads whole sessions through a store client.
func (cluster *Cluster) readSessions(t *testing.T, names []string) map[string]storedSession {
	t.Helper()
	client, closeClient := cluster.storeClient("10.8.0.2")
	defer closeClient()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	read := map[string]storedSession{}
	for _, name := range names {
		events, last, err := client.ReadAll(ctx, name)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		described := storedSession{Session: describeSession(last.Session), Head: last.Session.Head, Archived: last.Session.ArchivedSeq}
		for _, event := range events {
			described.Events = append(described.Events, describeEvent(event))
		}
		read[name] = described
	}
	return read
}

// repeatPatches sends each patch again, which must be acknowledged, and a different one for the same
// base, which must be rejected.
func (cluster *Cluster) repeatPatches(t *testing.T) {
	t.Helper()
	for index, routes := range storedPatchSizes {
		base := uint64(index + 1)
		for from := range cluster.Controls {
			if err := cluster.sendPatch(from, base, 0, routes); err != nil {
				t.Errorf("repeated patch of revision %d, at node %d: %v", base, from, err)
			}
			if err := cluster.sendPatch(from, base, 1, routes); !apierror.Is(err, apierror.Conflict) {
				t.Errorf("different patch of revision %d, at node %d: %v", base, from, err)
			}
		}
	}
}

func (cluster *Cluster) awaitVoter(t *testing.T, machine *Machine) {
	t.Helper()
	if err := cluster.Await(30*time.Second, "voter "+machine.Host, func() error {
		if voting := cluster.votingControls(); !slices.Contains(voting, machine.Host+" "+machine.Control.Name()) {
			return fmt.Errorf("the voters are %v", voting)
		}
		if current, newest := machine.Control.View().Number, cluster.leader().Control.View().Number; current < newest {
			return fmt.Errorf("it holds view %d, the leader %d", current, newest)
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

// continueConversation takes the next turn of a conversation, or starts one, and checks the history
// that the model received.
func (cluster *Cluster) continueConversation(t *testing.T, conversation *storedConversation, words string) {
	t.Helper()
	body := map[string]any{"program": "dialogue", "kind": "talk", "words": words}
	if conversation.Name != "" {
		body = map[string]any{"conversation": conversation.Name, "follows": conversation.Turn, "kind": "talk", "words": words}
	}
	answer, err := cluster.Turn(cluster.Fronts[0], body)
	if err != nil {
		t.Fatalf("%s: %v", conversation.Name, err)
	}
	history := []runnerclient.Message{}
	for _, message := range conversation.History {
		history = append(history, runnerclient.Message{Role: message.Role, Text: message.Words})
	}
	if want := strings.Join(standin.Answer(history, words), ""); answer.Words != want {
		t.Fatalf("%s: answer %q, want %q", conversation.Name, answer.Words, want)
	}
	conversation.Name, conversation.Turn = answer.Conversation, answer.Turn
	conversation.History = append(conversation.History, storedMessage{"caller", words}, storedMessage{"model", answer.Words})
}

// readStoredFleet reads the state of the fleet that is compared with the stored expectation.
func (cluster *Cluster) readStoredFleet(t *testing.T, fleet *storedFleet) {
	t.Helper()
	fleet.Revision = cluster.mustReadRouting(t, historyTimeout).Revision
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
	fleet.Sessions = cluster.readSessions(t, names)
	for _, program := range []string{"dialogue", "tight"} {
		reported, err := cluster.quota(cluster.Fronts[0], program)
		if err != nil {
			t.Fatal(err)
		}
		fleet.Quotas[program] = reported.Spent
	}
	fleet.SharingSessions, _, _ = cluster.sharedPrefixUsage(t, storedGroup)
}

func (cluster *Cluster) eachDisk(visit func(name string, disk *Disk)) {
	for _, machine := range slices.Concat(cluster.Controls, cluster.Stores) {
		visit(machine.Host+"/data", machine.Disk)
		if machine.Archive != nil {
			visit(machine.Host+"/archive", machine.Archive)
		}
	}
}
