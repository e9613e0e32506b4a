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
	// maxBatch bounds the changes of one entry, which keeps it under a
	// megabyte with jobs of usual size.
	maxBatch = 512
	// commitSlots bounds the changes that wait.
	commitSlots = 8192
	// commitTimeout is how long a commit may take; without a majority for that
	// long the outcome is unknown.
	commitTimeout = 2 * time.Second
)

// Proposer commits entries to the replicated log.
type Proposer interface {
	Propose(ctx context.Context, data []byte) (any, error)
}

// Committer gathers changes, so that one sync of the log serves many of them.
// Set the exported fields before Run.
type Committer struct {
	Log  Proposer
	Wall weir.Clock

	queue chan commit
}

type commit struct {
	changes []store.Change
	reply   func(answers []store.Result, err error)
}

// String is the step's name in logs.
func (cm *Committer) String() string { return "committer" }

// Default prepares the queue.
func (cm *Committer) Default() error {
	cm.queue = make(chan commit, commitSlots)
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

func (cm *Committer) gather(first commit) []commit {
	batch, count := []commit{first}, len(first.changes)
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

func (cm *Committer) commit(ctx context.Context, batch []commit) {
	en := store.Entry{At: cm.Wall.Now()}
	for _, cmt := range batch {
		en.Changes = append(en.Changes, cmt.changes...)
	}
	answers, err := cm.propose(ctx, en)
	for _, cmt := range batch {
		if err != nil {
			cmt.reply(nil, err)
			continue
		}
		cmt.reply(answers[:len(cmt.changes):len(cmt.changes)], nil)
		answers = answers[len(cmt.changes):]
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
	answers, ok := value.([]store.Result)
	if !ok || len(answers) != len(en.Changes) {
		return nil, &Error{Op: "commit", Kind: KindInternal, Err: errors.New("an answer for each change is missing")}
	}
	return answers, nil
}

// Submit queues changes; reply is called once, on the committer's goroutine,
// and must not block. It reports false where too many wait: the changes are
// then certainly not made and reply is not called.
func (cm *Committer) Submit(changes []store.Change, reply func(answers []store.Result, err error)) bool {
	select {
	case cm.queue <- commit{changes: changes, reply: reply}:
		return true
	default:
		metrics.GetOrCreateCounter("weir_job_commits_refused_total").Inc()
		return false
	}
}

// Commit makes one change and waits for it. An error of KindBusy says that it
// is certainly not made; any other error leaves that open.
func (cm *Committer) Commit(ctx context.Context, ch store.Change) (store.Result, error) {
	answers, err := cm.commitAll(ctx, []store.Change{ch})
	if err != nil {
		return store.Result{}, err
	}
	return answers[0], nil
}

// CommitAll is Commit for some changes, made in one step.
func (cm *Committer) CommitAll(ctx context.Context, changes []store.Change) error {
	_, err := cm.commitAll(ctx, changes)
	return err
}

func (cm *Committer) commitAll(ctx context.Context, changes []store.Change) ([]store.Result, error) {
	type result struct {
		answers []store.Result
		err     error
	}
	done := make(chan result, 1)
	if !cm.Submit(changes, func(answers []store.Result, err error) { done <- result{answers, err} }) {
		return nil, &Error{Op: "commit", Kind: KindBusy}
	}
	select {
	case res := <-done:
		return res.answers, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
