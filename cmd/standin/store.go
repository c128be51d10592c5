package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

type storeCommand struct {
	Listen    string `required:"" help:"Address of the metadata store."`
	Instances int    `default:"4" help:"How many instances of the service to run."`
	Daemons   int    `default:"4" help:"How many daemons to write settings for."`
	Settings  string `required:"" help:"Directory for the daemons' settings files."`
	Key       string `default:"demo" help:"Key of the only client account."`
}

// heartbeatInterval is the interval between an instance's heartbeats in the registry.
const heartbeatInterval = 1500 * time.Millisecond

// failureDomains are the failure domains to which instances and daemons are assigned in turn.
var failureDomains = []string{"a", "b"}

// Run serves the metadata store and runs instances that are registered in it. It returns only on an error.
func (c storeCommand) Run() error {
	s := emulator.NewStore()
	var instances []*emulator.Instance
	for i := range c.Instances {
		in, err := emulator.NewInstance(fmt.Sprint("i-", i+1))
		if err != nil {
			return err
		}
		instances = append(instances, in)
	}
	for i := range c.Daemons {
		if err := c.writeSettings(i + 1); err != nil {
			return err
		}
	}
	if err := c.publishConfiguration(s); err != nil {
		return err
	}
	go sendHeartbeats(s, instances)
	mux := http.NewServeMux()
	mux.Handle("/jacinthproxy/", s)
	mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) {
		var f struct{ Away bool }
		if !readJSON(w, r, &f) {
			return
		}
		s.SetInterceptor(nil)
		if f.Away {
			s.SetInterceptor(emulator.Unavailable)
		}
	})
	mux.HandleFunc("/runs", func(w http.ResponseWriter, _ *http.Request) {
		twice, keys, runs := 0, 0, map[string]int{}
		for _, i := range instances {
			for _, r := range i.ExecutedRequests() {
				if runs[r.ID]++; runs[r.ID] == 2 {
					twice++
				}
				if r.Key != "" {
					keys++
				}
			}
		}
		writeJSON(w, map[string]int{"runs": len(runs), "twice": twice, "keys": keys})
	})
	server := &http.Server{Addr: c.Listen, Handler: mux, ReadHeaderTimeout: heartbeatInterval}
	return errors.Wrap(server.ListenAndServe(), "serve metadata store")
}

func sendHeartbeats(s *emulator.Store, instances []*emulator.Instance) {
	born := time.Now().UnixMilli()
	for n := 1; ; n++ {
		for i, in := range instances {
			s.Register(in.ID, emulator.Heartbeat{
				Address: in.Address().String(), Service: "ledger", FailureDomain: failureDomains[i%len(failureDomains)], State: "ready", Slots: 4, SequenceNumber: int64(n), StartedAtMs: born,
			})
		}
		time.Sleep(heartbeatInterval)
	}
}

func (c storeCommand) publishConfiguration(s *emulator.Store) error {
	b, err := json.Marshal(map[string]any{"Version": 1, "Resources": []any{
		map[string]any{"ResourceKind": "Routes", "Metadata": map[string]string{"Name": "balance"}, "Specification": map[string]any{
			"Host": "ledger.example", "PathPrefix": "/balance/", "Kind": "safe", "TimeoutS": 5, "TargetLatencyS": 1, "Attempts": 2, "Service": "ledger",
		}},
		map[string]any{"ResourceKind": "Routes", "Metadata": map[string]string{"Name": "dispatch"}, "Specification": map[string]any{
			"Host": "ledger.example", "PathPrefix": "/dispatch/", "Kind": "non_idempotent", "TimeoutS": 5, "TargetLatencyS": 1, "Attempts": 2, "Service": "ledger",
		}},
		map[string]any{"ResourceKind": "Services", "Metadata": map[string]string{"Name": "ledger"}, "Specification": map[string]any{"HealthPath": "/health"}},
		map[string]any{"ResourceKind": "Tenants", "Metadata": map[string]string{"Name": "crew"}, "Specification": map[string]any{
			"ApiKeys": []string{c.Key}, "RatePerS": 1000, "Burst": 1000,
		}},
	}})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	s.Put("keyed.op", "config", b)
	return nil
}

// writeSettings writes the settings file of daemon i, whose address is 127.0.4.i, in the platform's format.
func (c storeCommand) writeSettings(i int) error {
	ip := fmt.Sprintf("127.0.4.%d", i)
	b, err := json.MarshalIndent(map[string]any{
		"NodeName": fmt.Sprint("front-", i), "IpAddress": ip, "Zone": failureDomains[i%len(failureDomains)],
		"ListenAddresses":   map[string]string{"Front": ip + ":8405", "Readiness": ip + ":8406", "Directory": ip + ":8404"},
		"InternalPortRange": []int{7660, 7675},
		"Limits":            map[string]any{"CpuShare": 0.5, "MemoryMb": 256, "FileDescriptors": 4096},
		"Bounds":            []string{"RevocationS=5", "GracePeriodS=4"},
		"Platform":          map[string]string{"Address": c.Listen},
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(c.Settings, fmt.Sprintf("front-%d.json", i)), b, 0o600), "write settings")
}

type askCommand struct {
	Entry string `required:"" help:"Callers' address of a daemon."`
	Path  string `required:"" help:"Path to ask for."`
	Key   string `help:"Key to send."`
	Count int    `default:"1" help:"How many requests to send, one after another."`
}

// Run sends requests as callers of the platform do, and prints the number of responses per status as JSON.
// Requests without a complete response are counted under "cut".
func (c askCommand) Run() error {
	statuses := map[string]int{}
	for i := range c.Count {
		statuses[c.send(fmt.Sprintf("%d-%d-%d", os.Getpid(), time.Now().UnixNano(), i))]++
	}
	b, err := json.Marshal(statuses)
	fmt.Println(string(b))
	return errors.Wrap(err, "encode statuses")
}

func (c askCommand) send(id string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Entry+c.Path, nil)
	if err != nil {
		return err.Error()
	}
	req.Host = "ledger.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	if c.Key != "" {
		req.Header.Set("X-Api-Key", c.Key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "cut"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	return fmt.Sprint(resp.StatusCode)
}
