package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// servePlatform serves the platform's list of machines and its two orders.
func (fl *fleet) servePlatform(addr string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", fl.listMachines)
	mux.HandleFunc("POST /-/machine-move", fl.orderMachine)
	mux.HandleFunc("POST /-/machine-upkeep", fl.orderMachine)
	fl.platform = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = fl.platform.Serve(lis) }()
	return nil
}

func (fl *fleet) listMachines(wr http.ResponseWriter, _ *http.Request) {
	fl.mu.Lock()
	list := []map[string]any{}
	for name, mc := range fl.machines {
		entry := map[string]any{
			"machine": name, "pool": mc.pool, "state": mc.state, "zone": mc.zone, "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": mc.capacity, "mem_mb": 131072, "gpu": 0},
		}
		if mc.worker != nil {
			entry["id"] = mc.worker.id
		}
		list = append(list, entry)
	}
	fl.mu.Unlock()
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]any{"machines": list, "next_token": nil})
}

func (fl *fleet) orderMachine(wr http.ResponseWriter, req *http.Request) {
	var od struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	_ = json.NewDecoder(req.Body).Decode(&od)
	fl.mu.Lock()
	mc := fl.machines[od.Machine]
	if mc == nil {
		fl.mu.Unlock()
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	state, away := "upkeep", upkeepTime
	if od.Pool != "" {
		state, away = "moving", moveTime
	}
	done, busy := od.Pool != "" && mc.pool == od.Pool, mc.state != "up"
	if !done && !busy {
		mc.state = state
		if od.Pool != "" {
			mc.pool = od.Pool
		}
	}
	fl.mu.Unlock()
	wr.Header().Set("Content-Type", "application/json")
	switch {
	case done:
		wr.WriteHeader(http.StatusOK)
	case busy:
		wr.WriteHeader(http.StatusConflict)
		_, _ = wr.Write([]byte(`{"reason":"busy"}`))
	default:
		fl.rec.log("machine", "%s: %s %s", od.Machine, state, od.Pool)
		fl.restart(mc, away)
		wr.WriteHeader(http.StatusOK)
	}
}
