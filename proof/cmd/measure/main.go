// Command measure reports the cost of a turn. By default it runs a simulated cluster in real time
// with different numbers of groups, and compares the latency of the first piece through the cluster
// with that of a direct request to the stand-in runner, in pairs. With -turns-per-second, or to
// compare shared prefixes, it runs turns of programs against real stores on loopback.
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
	comparedTurns = 30
	idleTime      = 4 * time.Second
)

func main() {
	log.SetHandler(discard.New())
	turnsPerSecond := flag.Int("turns-per-second", 0, "measure turns on real stores at this rate")
	turnCount := flag.Int("turns", 1000, "number of turns on real stores")
	size := flag.Int("size", 1000, "size of each input and each output in bytes")
	syncDelay := flag.Duration("sync", 5*time.Millisecond, "delay added to each disk sync")
	profile := flag.String("profile", "", "write a CPU profile of the turns to this file")
	comparePrefixes := flag.Bool("openings", false, "compare programs with and without shared prefixes on real stores")
	flag.Parse()
	if *comparePrefixes {
		if err := measureSharedPrefixes(max(*turnsPerSecond, 1), *turnCount, *size, *syncDelay); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if *turnsPerSecond > 0 {
		if err := reportTurnCosts(*turnsPerSecond, *turnCount, *size, *syncDelay, *profile); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	for _, groups := range []uint32{8, 32, 128, 256} {
		if err := measureGroups(groups); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

type clusterCounts struct {
	syncs           int
	bytes, messages int64
}

func countCluster(cluster *simulator.Cluster) clusterCounts {
	sum := clusterCounts{}
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

func measureGroups(groups uint32) error {
	cluster, err := simulator.Start(1, simulator.Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 2, Applications: 1, Groups: groups}, simulator.BasicConfig)
	if cluster != nil {
		defer cluster.Stop()
	}
	if err != nil {
		return err
	}
	<-time.After(2 * time.Second)
	before := countCluster(cluster)
	<-time.After(idleTime)
	idle := countCluster(cluster)
	pieces := 0
	var direct, viaCluster []time.Duration
	for turn := range comparedTurns {
		question := fmt.Sprintf("question %d", turn)
		latency, _, err := timeFirstPiece(cluster, cluster.Runners[turn%2].Host+":8000", "/turn", runnerclient.TurnRequest{Input: question})
		if err != nil {
			return err
		}
		direct = append(direct, latency)
		latency, received, err := timeFirstPiece(cluster, cluster.Fronts[turn%2].Host+":7100", "/v1/conversations", map[string]any{"program": "dialogue", "kind": "talk", "words": question})
		if err != nil {
			return err
		}
		viaCluster = append(viaCluster, latency)
		pieces += received
	}
	after := countCluster(cluster)
	ratios := []float64{}
	for position := range direct {
		ratios = append(ratios, float64(viaCluster[position])/float64(direct[position]))
	}
	slices.Sort(ratios)
	slices.Sort(direct)
	slices.Sort(viaCluster)
	report := map[string]any{
		"groups": groups, "idle_bytes_per_second": int64(float64(idle.bytes-before.bytes) / idleTime.Seconds()), "idle_syncs_per_second": float64(idle.syncs-before.syncs) / idleTime.Seconds(),
		"pieces_per_turn": float64(pieces) / comparedTurns, "syncs_per_turn_all_stores": float64(after.syncs-idle.syncs) / comparedTurns, "idle_messages_per_second": float64(idle.messages-before.messages) / idleTime.Seconds(), "messages_per_turn": (after.messages - idle.messages) / comparedTurns,
		"bytes_per_turn":     (after.bytes - idle.bytes) / comparedTurns,
		"first_piece_direct": direct[comparedTurns/2].String(), "first_piece_through": viaCluster[comparedTurns/2].String(), "first_piece_ratio": ratios[comparedTurns/2],
	}
	data, err := json.Marshal(report)
	fmt.Println(string(data))
	return err
}

// timeFirstPiece sends a request, and returns the time to the first piece of the response and the
// number of pieces.
func timeFirstPiece(cluster *simulator.Cluster, address, path string, body any) (time.Duration, int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, 0, err
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+simulator.TeamToken)
	request.Header.Set("Content-Type", "application/json")
	began := time.Now()
	response, err := cluster.Client().Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, 0, fmt.Errorf("%s responded with %s", address, response.Status)
	}
	lines := bufio.NewScanner(response.Body)
	latency, pieces := time.Duration(0), 0
	for lines.Scan() {
		if bytes.Contains(lines.Bytes(), []byte(`"piece"`)) {
			if pieces++; pieces == 1 {
				latency = time.Since(began)
			}
		}
	}
	return latency, pieces, lines.Err()
}
