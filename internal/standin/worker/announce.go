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

const defaultAnnounceInterval = time.Second

// announceLoop announces the worker at the interval that the entry instance
// sets, and at once after wakeAnnouncer.
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

// announceOnce sends one announcement and returns the time to wait until the
// next. If it fails or is rejected, the worker switches to the next entry
// instance under a new epoch.
func (wk *Worker) announceOnce(ctx context.Context) time.Duration {
	ann, entry, ok := wk.announcement()
	if !ok {
		return pollInterval
	}
	sentAt := wk.Clock.Now()
	ans, err := wk.post(ctx, entry, ann)
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.lease != ann.Lease {
		return pollInterval
	}
	if err != nil || !ans.Granted {
		wk.granted = false
		wk.entryIndex++
		wk.lease.Epoch++
		return retryPause
	}
	wk.granted = true
	wk.leaseExpires = sentAt.Add(time.Duration(ans.LeaseMillis) * time.Millisecond)
	wk.seenView = max(wk.seenView, ans.View)
	if ans.Slots > 0 {
		wk.slots = ans.Slots
	}
	wk.usageInterval = time.Duration(ans.UsageMillis) * time.Millisecond
	wk.acknowledgeUsage(ann.Lease.Incarnation, ans.AckedUsage)
	if wk.seenView > ann.SeenView {
		// Report a newer view at once: a drain may be waiting for it.
		return pollInterval
	}
	if ans.AnnounceMillis > 0 {
		return time.Duration(ans.AnnounceMillis) * time.Millisecond
	}
	return defaultAnnounceInterval
}

// announcement returns the next announcement and the entry instance to send it
// to, or false while the worker is down.
func (wk *Worker) announcement() (endpoint.Announcement, string, bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.down {
		return endpoint.Announcement{}, "", false
	}
	wk.flushUsage()
	ann := endpoint.Announcement{
		Instance: wk.ID, Lease: wk.lease, Address: wk.addr, Zone: wk.Zone, Rack: wk.Rack,
		State: endpoint.Serving, SeenView: wk.seenView, InFlight: wk.inFlight,
		Usage: append([]command.UsageReport{}, wk.reports...),
	}
	if wk.leaving {
		ann.State = endpoint.Leaving
	}
	return ann, wk.Entries[wk.entryIndex%len(wk.Entries)], true
}

// flushUsage moves the usage counted so far into the next numbered report, at
// most once per usage interval unless the worker is draining or rebooting.
func (wk *Worker) flushUsage() {
	now := wk.Clock.Now()
	if len(wk.totals) == 0 || (now.Before(wk.nextReport) && !wk.leaving && !wk.flushing) {
		return
	}
	wk.nextReport = now.Add(wk.usageInterval)
	wk.usageSequence++
	rep := command.UsageReport{Instance: wk.ID, Incarnation: wk.lease.Incarnation, Sequence: wk.usageSequence}
	for _, sum := range wk.totals {
		rep.Totals = append(rep.Totals, *sum)
	}
	wk.totals = map[usageKey]*command.UsageTotal{}
	wk.reports = append(wk.reports, rep)
}

// acknowledgeUsage drops the reports that the control instances have stored: those
// of an incarnation up to a sequence number.
func (wk *Worker) acknowledgeUsage(incarnation, sequence uint64) {
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
