// Command measure counts what a turn costs on a simulated cluster in real time,
// for several numbers of groups, or what turns of programs cost at a pace on real
// stores on loopback. It compares streaming through the cluster with
// asking the stand-in runner directly, in pairs.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"yardrock.example/proof/simulator"
	"yardrock.example/system/runnerclient"
)

const (
	turns    = 30
	idleTime = 4 * time.Second
)

func main() {
	log.SetHandler(discard.New())
	pace := flag.Int("turns-per-second", 0, "measure turns of programs at this pace instead")
	number := flag.Int("turns", 1000, "how many of them")
	size := flag.Int("size", 1000, "bytes of each input and of each output")
	takes := flag.Duration("sync", 5*time.Millisecond, "how long each sync takes at least")
	profile := flag.String("profile", "", "write a processor profile of them to this file")
	prefixes := flag.Bool("openings", false, "measure them as programs with openings in common, shared and not, in turn")
	flag.Parse()
	if *prefixes {
		if err := sharedPrefixCosts(max(*pace, 1), *number, *size, *takes); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if *pace > 0 {
		if err := turnCosts(*pace, *number, *size, *takes, *profile); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	for _, groups := range []uint32{8, 32, 128, 256} {
		if err := count(groups); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

type counts struct {
	syncs           int
	bytes, messages int64
}

func total(cluster *simulator.Cluster) counts {
	sum := counts{}
	for _, machine := range cluster.Machines() {
		sent, messages := cluster.Network.Sent(machine.Host)
		sum.bytes += sent
		sum.messages += messages
		if machine.Store != nil {
			sum.syncs += machine.Disk.Syncs()
		}
	}
	return sum
}

func count(groups uint32) error {
	cluster, err := simulator.Start(1, simulator.Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 2, Applications: 1, Groups: groups}, simulator.BasicConfig)
	if cluster != nil {
		defer cluster.Stop()
	}
	if err != nil {
		return err
	}
	<-time.After(2 * time.Second)
	before := total(cluster)
	<-time.After(idleTime)
	idle := total(cluster)
	pieces := 0
	var direct, through []time.Duration
	for turn := range turns {
		question := fmt.Sprintf("question %d", turn)
		took, _, err := first(cluster, cluster.Runners[turn%2].Host+":8000", "/turn", runnerclient.TurnRequest{Input: question})
		if err != nil {
			return err
		}
		direct = append(direct, took)
		took, seen, err := first(cluster, cluster.Fronts[turn%2].Host+":7100", "/v1/conversations", map[string]any{"program": "dialogue", "kind": "talk", "words": question})
		if err != nil {
			return err
		}
		through = append(through, took)
		pieces += seen
	}
	after := total(cluster)
	ratios := []float64{}
	for position := range direct {
		ratios = append(ratios, float64(through[position])/float64(direct[position]))
	}
	slices.Sort(ratios)
	slices.Sort(direct)
	slices.Sort(through)
	reported := map[string]any{
		"groups": groups, "idle_bytes_per_second": int64(float64(idle.bytes-before.bytes) / idleTime.Seconds()), "idle_syncs_per_second": float64(idle.syncs-before.syncs) / idleTime.Seconds(),
		"pieces_per_turn": float64(pieces) / turns, "syncs_per_turn_all_stores": float64(after.syncs-idle.syncs) / turns, "idle_messages_per_second": float64(idle.messages-before.messages) / idleTime.Seconds(), "messages_per_turn": (after.messages - idle.messages) / turns,
		"bytes_per_turn":     (after.bytes - idle.bytes) / turns,
		"first_piece_direct": direct[turns/2].String(), "first_piece_through": through[turns/2].String(), "first_piece_ratio": ratios[turns/2],
	}
	data, err := json.Marshal(reported)
	fmt.Println(string(data))
	return err
}

// first asks and gives the time to the first piece, and how many pieces came.
func first(cluster *simulator.Cluster, address, path string, body any) (time.Duration, int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, 0, err
	}
	query, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, 0, err
	}
	query.Header.Set("Authorization", "Bearer "+simulator.TeamToken)
	query.Header.Set("Content-Type", "application/json")
	began := time.Now()
	answer, err := cluster.Client().Do(query)
	if err != nil {
		return 0, 0, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return 0, 0, fmt.Errorf("%s answered %s", address, answer.Status)
	}
	lines := bufio.NewScanner(answer.Body)
	took, pieces := time.Duration(0), 0
	for lines.Scan() {
		if bytes.Contains(lines.Bytes(), []byte(`"piece"`)) {
			if pieces++; pieces == 1 {
				took = time.Since(began)
			}
		}
	}
	return took, pieces, lines.Err()
}
