package scheduler

import (
	"context"
	"time"

	"greengageweir/internal/job/store"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	weir "greengageweir"
)

const (
	// maxBatch limits the changes in one entry, which keeps the entry under a
	// megabyte for jobs of typical size.
	maxBatch = 512
	// maxQueuedCommits is the capacity of the queue of commit requests.
	maxQueuedCommits = 8192
	// commitTimeout limits one commit; after it the outcome is unknown, which
	// happens if there is no majority for that long.
	commitTimeout = 2 * time.Second
)

// Proposer commits entries to the replicated log.
type Proposer interface {
	Propose(ctx context.Context, data []byte) (any, error)
}

// Committer commits changes in batches, so that one sync of the log covers many
// of them. Set the exported fields before Run.
type Committer struct {
	Log  Proposer
	Wall weir.Clock

	queue chan commitRequest
}

// commitRequest is a queued request to commit changes.
type commitRequest struct {
	changes []store.Change
	reply   func(results []store.Result, err error)
}

// String returns the component's name for logs.
func (cm *Committer) String() string { return "committer" }

// Default creates the queue.
func (cm *Committer) Default() error {
	cm.queue = make(chan commitRequest, maxQueuedCommits)
	return nil
}

// Run commits until the context ends.
func (cm *Committer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-cm.queue:
			cm.commit(ctx, cm.gather(first))
		}
	}
}

// gather adds queued requests to a batch without waiting for more.
func (cm *Committer) gather(first commitRequest) []commitRequest {
	batch, count := []commitRequest{first}, len(first.changes)
	for count < maxBatch {
		select {
		case next := <-cm.queue:
			batch = append(batch, next)
			count += len(next.changes)
		default:
			return batch
		}
	}
	return batch
}

func (cm *Committer) commit(ctx context.Context, batch []commitRequest) {
	en := store.Entry{At: cm.Wall.Now()}
	for _, cmt := range batch {
		en.Changes = append(en.Changes, cmt.changes...)
	}
	results, err := cm.propose(ctx, en)
	for _, cmt := range batch {
		if err != nil {
			cmt.reply(nil, err)
			continue
		}
		cmt.reply(results[:len(cmt.changes):len(cmt.changes)], nil)
		results = results[len(cmt.changes):]
	}
}

func (cm *Committer) propose(ctx context.Context, en store.Entry) ([]store.Result, error) {
	data, err := en.Encode()
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	begin := cm.Wall.Now()
	value, err := cm.Log.Propose(callCtx, data)
	metrics.GetOrCreateHistogram("weir_job_commit_seconds").Update(cm.Wall.Now().Sub(begin).Seconds())
	if err != nil {
		return nil, err
	}
	results, ok := value.([]store.Result)
	if !ok || len(results) != len(en.Changes) {
		return nil, &Error{Op: "commit", Kind: KindInternal, Err: errors.New("an answer for each change is missing")}
	}
	return results, nil
}

// Submit queues changes. The function reply is called once, on the committer's
// goroutine, and must not block. Submit reports false if the queue is full: the
// changes are then not made and reply is not called.
func (cm *Committer) Submit(changes []store.Change, reply func(results []store.Result, err error)) bool {
	select {
	case cm.queue <- commitRequest{changes: changes, reply: reply}:
		return true
	default:
		metrics.GetOrCreateCounter("weir_job_commits_refused_total").Inc()
		return false
	}
}

// Commit commits one change and waits for its result. An error of KindBusy means
// that the change was not made; after any other error it may have been made.
func (cm *Committer) Commit(ctx context.Context, ch store.Change) (store.Result, error) {
	results, err := cm.CommitEach(ctx, []store.Change{ch})
	if err != nil {
		return store.Result{}, err
	}
	return results[0], nil
}

// CommitEach is like Commit for several changes, which are applied in one entry.
// It returns a result for each.
func (cm *Committer) CommitEach(ctx context.Context, changes []store.Change) ([]store.Result, error) {
	type result struct {
		results []store.Result
		err     error
	}
	done := make(chan result, 1)
	if !cm.Submit(changes, func(results []store.Result, err error) { done <- result{results, err} }) {
		return nil, &Error{Op: "commit", Kind: KindBusy}
	}
	select {
	case res := <-done:
		return res.results, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
