package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/fleet/command"
)

const defaultEvery = time.Second

// announceLoop announces the worker once a second and whenever it is nudged.
func (wk *Worker) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := wk.announceOnce(ctx)
		select {
		case <-ctx.Done():
		case <-wk.wake:
		case <-time.After(wait):
		}
	}
}

// announceOnce sends one announcement and returns when to send the next. A
// worker that is refused or gets no answer leases itself to the next entry
// instance.
func (wk *Worker) announceOnce(ctx context.Context) time.Duration {
	ann, entry, ok := wk.announcement()
	if !ok {
		return pollEvery
	}
	sentAt := wk.Clock.Now()
	ans, err := wk.post(ctx, entry, ann)
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.lease != ann.Lease {
		return pollEvery
	}
	if err != nil || !ans.Granted {
		wk.granted = false
		wk.entry++
		wk.lease.Epoch++
		return retryPause
	}
	wk.granted = true
	wk.expires = sentAt.Add(time.Duration(ans.LeaseMillis) * time.Millisecond)
	wk.seenView = max(wk.seenView, ans.View)
	if ans.Slots > 0 {
		wk.slots = ans.Slots
	}
	wk.usageEvery = time.Duration(ans.UsageMillis) * time.Millisecond
	wk.settle(ann.Lease.Incarnation, ans.AckedUsage)
	if wk.seenView > ann.SeenView {
		// Tell at once that a newer view was seen; a drain may wait for it.
		return pollEvery
	}
	if ans.AnnounceMillis > 0 {
		return time.Duration(ans.AnnounceMillis) * time.Millisecond
	}
	return defaultEvery
}

func (wk *Worker) announcement() (endpoint.Announcement, string, bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.down {
		return endpoint.Announcement{}, "", false
	}
	wk.cutReport()
	ann := endpoint.Announcement{
		Instance: wk.ID, Lease: wk.lease, Address: wk.addr, Zone: wk.Zone, Rack: wk.Rack,
		State: endpoint.Serving, SeenView: wk.seenView, InFlight: wk.inFlight,
		Usage: append([]command.UsageReport{}, wk.reports...),
	}
	if wk.leaving {
		ann.State = endpoint.Leaving
	}
	return ann, wk.Entries[wk.entry%len(wk.Entries)], true
}

// cutReport turns what was counted into the next numbered report.
func (wk *Worker) cutReport() {
	now := wk.Clock.Now()
	if len(wk.totals) == 0 || (now.Before(wk.nextReport) && !wk.leaving && !wk.flushing) {
		return
	}
	wk.nextReport = now.Add(wk.usageEvery)
	wk.sequence++
	rep := command.UsageReport{Instance: wk.ID, Incarnation: wk.lease.Incarnation, Sequence: wk.sequence}
	for _, sum := range wk.totals {
		rep.Totals = append(rep.Totals, *sum)
	}
	wk.totals = map[usageKey]*command.UsageTotal{}
	wk.reports = append(wk.reports, rep)
}

func (wk *Worker) settle(incarnation, sequence uint64) {
	kept := wk.reports[:0]
	for _, rep := range wk.reports {
		if rep.Incarnation != incarnation || rep.Sequence > sequence {
			kept = append(kept, rep)
		}
	}
	wk.reports = kept
}

func (wk *Worker) post(ctx context.Context, entry string, ann endpoint.Announcement) (endpoint.AnnounceResponse, error) {
	var ans endpoint.AnnounceResponse
	body, err := json.Marshal(ann)
	if err != nil {
		return ans, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+endpoint.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return ans, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := wk.client.Do(req)
	if err != nil {
		return ans, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return ans, err
	}
	return ans, json.Unmarshal(answer, &ans)
}
