package worker

import (
	"encoding/json"
	"os"
	"sync"

	weir "greengageweir"
)

// Run is one line of the journal: a request that a worker executed.
type Run struct {
	Key        string           `json:"key,omitempty"`
	Task       string           `json:"task"`
	Service    weir.ServiceName `json:"service"`
	Team       weir.TeamName    `json:"team,omitempty"`
	Instance   weir.InstanceID  `json:"instance"`
	BusyMillis uint64           `json:"busyMillis"`
	Failed     bool             `json:"failed,omitempty"`
	// Cut marks a reboot that interrupted requests in flight; Task then holds
	// the reboot operation.
	Cut bool `json:"cut,omitempty"`
}

// Journal records the executed requests, one JSON line each. It is the
// reference against which responses and reported usage are verified.
type Journal struct {
	mu   sync.Mutex
	file *os.File
}

// OpenJournal opens the file for appending, and creates it if missing.
func OpenJournal(path string) (*Journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640) //nolint:gosec // path from a flag
	if err != nil {
		return nil, &Error{Op: "open journal", Kind: KindJournal, Err: err}
	}
	return &Journal{file: file}, nil
}

// Add appends a line.
func (jo *Journal) Add(rn Run) error {
	line, err := json.Marshal(rn)
	if err != nil {
		return &Error{Op: "encode run", Kind: KindJournal, Err: err}
	}
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if _, err := jo.file.Write(append(line, '\n')); err != nil {
		return &Error{Op: "write journal", Kind: KindJournal, Err: err}
	}
	return nil
}
