package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
)

// addresses are the addresses of a deployment on loopback.
type addresses struct {
	Front   string   `json:"front"`
	Control []string `json:"control"`
	Cloud   string   `json:"cloud"`
	Advice  string   `json:"advice"`
	// WorkerNet is the prefix of the workers' addresses, WorkerPort their port.
	WorkerNet  string `json:"workerNet"`
	WorkerPort int    `json:"workerPort"`
}

const (
	coreMachines = 3
	edgeHost     = 9
	cloudHost    = 200
	// The ports are the same on all machines, as in the users' deployments.
	controlOffset = 0
	frontOffset   = 1
	readyOffset   = 2
	cloudOffset   = 3
	adviceOffset  = 4
	workerOffset  = 5
	rangeOffset   = 10
	portCount     = 26
	firstPort     = 21000
	portStep      = 100
	portBlocks    = 60
)

// prepare writes the settings files of three control processes and one entry
// instance, and the addresses that they use.
func prepare(dir string) error {
	block := os.Getpid() % 250
	prefix := fmt.Sprintf("127.%d.%d.", 71+block%20, block+1)
	base, err := freePorts(prefix)
	if err != nil {
		return err
	}
	at := func(host, offset int) string {
		return net.JoinHostPort(prefix+strconv.Itoa(host), strconv.Itoa(base+offset))
	}
	ad := addresses{Front: at(edgeHost, frontOffset), Cloud: at(cloudHost, cloudOffset), Advice: at(cloudHost, adviceOffset)}
	ad.WorkerNet, ad.WorkerPort = fmt.Sprintf("127.%d.%d.", 111+block%20, block+1), base+workerOffset
	for host := 1; host <= coreMachines; host++ {
		ad.Control = append(ad.Control, at(host, controlOffset))
	}
	for host := 1; host <= coreMachines; host++ {
		name := fmt.Sprintf("core-%d", host)
		st := settings(name, prefix, host, base, ad)
		st["bind_addrs"] = map[string]string{"control": at(host, controlOffset)}
		st["data_dir"] = filepath.Join(dir, name)
		if err := writeJSON(filepath.Join(dir, name+".json"), st); err != nil {
			return err
		}
	}
	st := settings("edge-1", prefix, edgeHost, base, ad)
	st["bind_addrs"] = map[string]string{"front": at(edgeHost, frontOffset), "ready": at(edgeHost, readyOffset)}
	if err := writeJSON(filepath.Join(dir, "edge-1.json"), st); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "addresses.json"), ad)
}

// settings returns what the files of all processes share: the bounds of the users'
// small deployments.
func settings(name, prefix string, host, base int, ad addresses) map[string]any {
	return map[string]any{
		"node_name": name, "ip": prefix + strconv.Itoa(host), "zone": "zone-a", "region": "region-a", "zones": map[string]string{"zone-a": "region-a"},
		"port_range": []int{base + rangeOffset, base + portCount - 1}, "seeds": ad.Control, "bootstrap": true,
		"limits":    map[string]any{"cpu_share": 0.6, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128},
		"discovery": "self_register", "entrypoint": "vip", "heartbeat_ms": heartbeatMS,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"stable_window_ms": 3000, "ack_timeout_ms": 4000, "grace_s": 6, "config_apply_ms": 2000, "recover_s": 12, "hold_max_ms": holdMaxMS,
			"stop_timeout_ms": 200, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
			"notice_ms": noticeMS, "move_s": 1.5, "maintenance_s": 2, "enforce_fencing": false, "lease_ms": 3000,
		},
		"config_mode": "highest", "orders": "call", "advice": ad.Advice,
		"cloud": map[string]any{"address": ad.Cloud, "rate_per_s": 64.0, "duties": []string{}, "duty_per_s": 64.0},
	}
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// freePorts returns the first port of a block that is free on the hosts in use.
func freePorts(prefix string) (int, error) {
	start := os.Getpid() / 250
	for try := range portBlocks {
		base := firstPort + (start+try)%portBlocks*portStep
		if blockFree(prefix, base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func blockFree(prefix string, base int) bool {
	for _, host := range []int{1, 2, 3, edgeHost, cloudHost} {
		for offset := range portCount {
			lis, err := net.Listen("tcp", net.JoinHostPort(prefix+strconv.Itoa(host), strconv.Itoa(base+offset)))
			if err != nil {
				return false
			}
			_ = lis.Close()
		}
	}
	return true
}
