#!/usr/bin/env bash
# Takes one rule at a time out of a scratch copy and expects the tests to
# notice. A rule that nobody misses is a rule without a proof.
# Usage: scripts/mutants.sh [name]
set -uo pipefail
cd "$(dirname "$0")/.."
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
MISSED=0

# mutant NAME FILE 'sed expression' PACKAGE...
mutant() {
  local name=$1 file=$2 edit=$3
  shift 3
  [ -z "${ONLY:-}" ] || [ "$ONLY" = "$name" ] || return 0
  rm -rf "$SCRATCH/repo"
  mkdir -p "$SCRATCH/repo"
  cp -r go.mod go.sum weir.go task.go internal platform docs examples "$SCRATCH/repo/"
  sed -i "$edit" "$SCRATCH/repo/$file"
  if cmp -s "$file" "$SCRATCH/repo/$file"; then
    echo "$name: the edit changes nothing"
    MISSED=1
    return
  fi
  if (cd "$SCRATCH/repo" && WEIR_INVARIANTS_FATAL=1 timeout 120 go test -count=1 -timeout 110s "$@") >"$SCRATCH/out" 2>&1; then
    echo "$name: NOT caught"
    MISSED=1
  elif grep -q 'build failed\|cannot use\|declared and not used\|imported and not used' "$SCRATCH/out"; then
    echo "$name: does not build"
    MISSED=1
  else
    echo "$name: caught by $(grep -o -m1 -- '--- FAIL: [A-Za-z]*\|panic: [a-z ]*[A-Za-z]*' "$SCRATCH/out" | head -n 1)"
  fi
}

ONLY=${1:-}
R=internal/state/replica
mutant commit-only-own-term $R/append.go 's/index <= co.commit || co.log.term(index) != co.hard.Term/index <= co.commit/' ./$R
mutant vote-needs-up-to-date-log $R/elect.go 's/free \&\& co.role == Follower \&\& co.upToDate(msg)/free \&\& co.role == Follower/' ./$R
mutant one-vote-a-term $R/elect.go 's/free := co.hard.Vote == "" || co.hard.Vote == msg.From/free := true/' ./$R
mutant vote-is-synced $R/core.go 's/^\tco.hard.Vote = vote$/\tco.hard.Vote = vote\n\treturn/' ./$R
mutant learner-does-not-vote $R/elect.go 's/grant := co.mayVote(msg) \&\& free/grant := free/' ./$R
mutant learner-is-not-counted $R/append.go 's/if !co.countsForMajority(id, pr) {$/if false {/' ./$R
mutant check-quorum $R/core.go 's/if !co.quorumActive(now) {/if false {/' ./$R
mutant pre-vote $R/elect.go 's/!co.leaderAlive(now) \&\& co.upToDate(msg)$/true/' ./$R
mutant late-snapshot-keeps-log $R/append.go 's/case co.log.term(snap.Index) == snap.Term:/case false:/' ./$R
mutant members-one-at-a-time $R/members.go 's/ || symmetricDifference(voters, co.voters()) != 1//' ./$R
mutant members-settled-first $R/members.go 's/co.membershipHistory\[len(co.membershipHistory)-1\].index > co.commit || //' ./$R
mutant leader-stays-voter $R/members.go 's/!self || symmetricDifference/symmetricDifference/; s/_, self := voters\[co.ID\]; /_ = 0; /' ./$R
mutant spare-counts-with-its-disk $R/members.go 's/return voter \&\& (.*$/_ = disk; return voter \&\& !pr.learner/' ./$R
mutant spare-votes-for-its-set $R/elect.go 's/ || (msg.Disk != "" \&\& msg.Disk == co.hard.Disk)//' ./$R
J=internal/job
mutant steps-in-order $J/store/store.go 's/case !js.StepReady(sa.Task.Occurrence, sa.Task.Step):/case false:/' ./$J/store
mutant no-start-while-draining $J/store/store.go 's/case wk.Draining:/case false:/' ./$J/store
mutant version-rises $J/store/store.go 's/if pk.Version <= st.Packed.Version {/if false {/' ./$J/store
mutant present-run-only $J/store/store.go 's/tk == nil || tk.Run != en.Run || /tk == nil || /' ./$J/store
mutant one-operation-a-machine $J/store/workers.go 's/if st.MachineOperations\[op.Machine\] != nil {/if false {/' ./$J/store
mutant evicted-counts-as-away $J/scheduler/wave.go 's/ls.evicted\[key\] || //' ./$J/scheduler
mutant intent-counts-as-away $J/scheduler/wave.go 's/if ws == nil || ls.machines.pendingCommit\[ws.worker.Machine\] {/if ws == nil {/' ./$J/scheduler
mutant slow-once $J/scheduler/progress.go 's/ || ls.stoppedSlow\[key.Task\]//' ./$J/scheduler
SS=internal/task/session
mutant silent-worker-gets-no-lease $SS/reports.go 's/if first || !ss.unreachableSince.IsZero() {/if first {/' ./$SS
mutant overtaken-answers $SS/decide.go 's/case after(rn.listedAt), /case !rn.listedAt.IsZero(), /' ./$SS
mutant report-before-verdict $SS/decide.go 's/if last.sentAt.IsZero() {/if false {/' ./$SS
mutant ends-until-recorded $SS/session.go '/^func (ss \*Session) EndsNotCommitted/,/^}/s/ss.committing = false/ss.committing = true/' ./$SS
mutant ends-in-order $SS/session.go 's/if ss.committing {/if false {/' ./$SS
mutant verdict-once $SS/session.go 's/if ss.committing \&\& (dec ==/if false \&\& (dec ==/' ./$SS
mutant unanswered-start-is-stopped $SS/decide.go 's/case rn.answeredAt.IsZero() \&\& !rn.sentAt.IsZero() \&\& now.Sub(rn.sentAt) < 2\*orderTimeout:/case false:/; s/\tdefault:\n\t\treturn decisionStop/\tdefault:\n\t\treturn decisionLost/' ./$SS
mutant lost-only-after-stop $SS/decide.go 's/case after(rn.stopAckedAt):/case !rn.stopSentAt.IsZero():/' ./$SS
mutant lease-on-slow-clock $SS/session.go 's|/minClockRate) + leaseExpiryMargin|) - 50*time.Millisecond|' ./$SS
mutant inherited-lease-lapses-later $SS/session.go 's/ss.leaseExpiry = ss.PriorLeaseExpiry/_ = 0/' ./$SS
mutant start-under-way-is-no-unknown-run internal/job/scheduler/scheduler.go 's/if ls.pendingStarts\[key\] {/if false {/' ./internal/job/scheduler
mutant gang-is-whole internal/job/scheduler/scheduler.go 's/ \&\& js.GangComplete(key)//' ./internal/job/scheduler
mutant gang-ends-once internal/job/store/store.go 's/case tk.Done:/case false:/' ./internal/job/store
mutant late-word-of-a-worker internal/job/store/workers.go 's/old.Sequence > wk.Sequence/false/' ./internal/job/store
mutant lasting-tasks-wait internal/schedule/placement/placement.go 's/gr.exceedsMaxUnavailable(on\[wk.ID\]) \&\& tk.waitsForSpread(now)/false/' ./internal/schedule/placement
mutant machines-at-the-platforms-rate internal/job/scheduler/machines.go 's/ || !mst.limiter.AllowN(now, 1)//' ./internal/job/scheduler
mutant only-the-life-ordered-away $J/scheduler/machines.go 's/if !ok || wk.Incarnation != op.Incarnation {/wk, ok = rd.Worker("w2"); if !ok {/' ./$J/scheduler
mutant answered-order-is-not-repeated $J/scheduler/machines.go 's/changes := \[\]store.Change{{Machine: op}}/delete(ls.machines.inFlight, order.Machine); &/' ./$J/scheduler
mutant applies-in-parts $R/core.go 's/, co.applied+maxApplyBatch)/)/' ./$R
mutant commit-within-the-log $R/core.go 's/min(index, co.log.last())/index/' ./$R
mutant cut-off-follower-asks internal/job/handler/handler.go 's/return leader != "" \&\& leader != sv.Self/return leader != sv.Self/' ./internal/job/handler
mutant given-up-is-reset internal/link/httpconn/httpconn.go 's/_ = tcp.SetLinger(0)/_ = tcp/' ./internal/link/httpconn
mutant least-work-first internal/schedule/placement/placement.go 's/cmp.Compare(one.RemainingWork, other.RemainingWork),//' ./internal/schedule/placement
mutant torn-tail-is-cut internal/state/wal/wal.go 's/lg.file.Truncate(lg.size)/lg.file.Truncate(info.Size())/' ./internal/state/wal
mutant damage-is-refused internal/state/wal/wal.go 's/if containsRecord(rest) {/if false {/' ./internal/state/wal
M=internal/fleet/fsm
mutant budget $M/drain.go 's/if left < want {/if false {/' ./$M
mutant consent-of-view $M/drain.go 's/co.View < mem.SinceIndex || //' ./$M
mutant consent-of-owner $M/drain.go 's/ || co.Epoch != sta.Epoch || co.Entry != sta.Entry//' ./$M
mutant expected-number $M/config.go 's/if ca.Expected != st.ConfigNumber {/if false {/' ./$M
mutant request-id $M/machine.go 's/ok \&\& cmd.RequestID != ""/ok \&\& false/' ./$M
mutant usage-in-sequence $M/report.go 's/rep.Sequence == \*last+1/rep.Sequence > *last/' ./$M
mutant usage-once $M/report.go 's/if rep.Sequence == \*last+1 {/if true {/' ./$M
mutant release-needs-new-incarnation $M/drain.go 's/ || sta.Incarnation <= mem.OldIncarnation//' ./$M
L=internal/entry/ledger
mutant ledger-floor $L/store.go 's/case !key.Timestamp.After(st.floor):/case false:/' ./$L
mutant ledger-majority $L/group.go 's/majority := len(gr.Replicas)\/2 + 1/majority := 1/' ./$L
mutant forgotten-keys-stay-out $L/store.go 's/ || key.Timestamp.Unix()\/60 < st.expiredUntil//' ./$L
mutant slots internal/entry/routing/endpoint.go 's/slots-ep.busy-ep.foreign/slots-ep.foreign/' ./internal/entry/routing
mutant slots-of-earlier-owner internal/entry/routing/endpoint.go 's/slots-ep.busy-ep.foreign/slots-ep.busy/' ./internal/entry/routing
mutant older-view-is-refused internal/entry/routing/announce.go 's/case tb.view.Index < ann.SeenView || tb.view.Index == 0:/case false:/' ./internal/entry/routing
mutant older-lease-is-refused internal/entry/routing/announce.go 's/case known \&\& ann.Lease.Before(old.lease):/case known \&\& old == nil:/' ./internal/entry/routing
mutant consent-needs-seen-view internal/entry/routing/announce.go 's/ || ep.seenView < mem.SinceIndex//' ./internal/entry/routing
mutant half-ejected-at-most internal/entry/routing/table.go 's/return 2\*(ejected+1) <= len(sq.endpoints)/return true/' ./internal/entry/routing
mutant unproven-connection internal/link/httpconn/httpconn.go 's/maxAge := MaxReuseAge/maxAge := idleTimeout/' ./internal/link/httpconn
mutant answer-needs-length internal/link/httpconn/httpconn.go 's/raw.Header.ContentLength() == noContentLength/false/' ./internal/link/httpconn
mutant broken-is-not-retried internal/entry/dispatch/dispatch.go 's/if !req.Repeatable || ans.Kind != weir.Unknown {/if ans.Kind != weir.Unknown {/' ./internal/entry/dispatch
mutant view-never-reverts internal/fleet/view/view.go 's/if eff.Index <= vw.Index {/if false {/' ./internal/control/hub ./internal/fleet/...
mutant effects-are-chained internal/fleet/view/view.go 's/if eff.PrevIndex != vw.Index {/if false {/' ./internal/control/hub ./internal/fleet/...
mutant lease-from-sending $R/append.go 's/time.Unix(0, msg.SentAt))/now)/' ./$R
mutant restart-honours-lease $R/elect.go 's/ || now.Before(co.noVoteBefore)//' ./$R
mutant departed-stays-away $J/store/workers.go 's/if wk.Incarnation > 0 \&\& wk.Incarnation <= /if false \&\& wk.Incarnation <= /' ./$J/store
mutant departure-needs-drain $J/scheduler/ends.go 's/if !ok || !wk.Draining {/if !ok {/' ./$J/scheduler
mutant permission-before-write internal/link/httpconn/httpconn.go 's/req.Permitted != nil \&\& !req.Permitted()/false/' ./internal/link/httpconn
T=internal/task/session
mutant close-before-removal $J/scheduler/ends.go 's/ws.session.Close()$/_ = ws/' ./$J/scheduler
mutant acknowledge-until-confirmed $T/session.go 's/if ss.committedEnd <= ss.forgottenEnd || /if /' ./$T
mutant clock-shows-restart $T/reports.go 's/if !ss.clockSentAt.IsZero() \&\& clock < ss.slowestClock(sentAt) {/if false {/' ./$T
mutant permission-of-the-term $J/scheduler/machines.go 's/ \&\& sc.Leadership.LeaderTerm() == term//' ./$J/scheduler
mutant order-delay-after-election $J/scheduler/machines.go 's/return now.Sub(last) >= sc.MachineOrderDelay/return true/' ./$J/scheduler
mutant prior-leases-count $J/scheduler/scheduler.go 's/PriorLeaseExpiry: ls.since.Add(.*$/PriorLeaseExpiry: ls.since,/' ./$J/scheduler
mutant unanswered-start-is-stopped $T/decide.go 's/case rn.answeredAt.IsZero() \&\& !rn.sentAt.IsZero() \&\& now.Sub(rn.sentAt) < 2\*orderTimeout:/case rn.answeredAt.IsZero() \&\& rn.sentAt.IsZero():\n\t\treturn decisionLost\n\tcase false:/' ./$J/scheduler
mutant ready-needs-majority internal/entry/relay/relay.go 's/ready := 2\*reachable > len(electorate) ||/ready := reachable > 0 ||/' ./internal/entry/relay
mutant cut-off-answers-at-once internal/entry/relay/relay.go 's/ctx.Err() != nil || !rl.Ready() || (/ctx.Err() != nil || (/' ./internal/entry/relay
mutant memory-counts internal/capacity/balance/balance.go 's/return rs.MemoryMB }/return 0 }/' ./internal/capacity/balance
mutant stuck-tasks-call-machines internal/capacity/balance/balance.go 's/need = max(need, ld.Usable+ceilDiv(stuck, capacity))/_ = stuck/' ./internal/capacity/balance
mutant planned-end-is-no-crash $J/store/crash.go 's/return !wk.Draining \&\& .*$/return true/' ./$J/store
mutant cut-is-no-crash $J/store/crash.go 's/if wk.Incarnation == lp.Incarnation {/if false {/' ./$J/store
mutant last-started-comes-into-question $J/store/crash.go 's/here \&\& latest.Sub(st.startedAt(key)) <= startSpread/here/' ./$J/store
mutant one-job-in-question $J/store/crash.go 's/(lp.Sole \&\& tk.Crashes/(tk.Crashes/' ./$J/store
mutant crashes-are-bounded $J/store/crash.go 's/tk.Crashes >= maxCrashes || //' ./$J/store
mutant suspects-are-kept-apart internal/schedule/placement/pool.go 's/shared := .*$/shared := false/' ./internal/schedule/placement
mutant suspects-start-alone internal/schedule/placement/placement.go 's/if wk.ReservedFor != "" \&\& /if false \&\& /' ./internal/schedule/placement
mutant crash-needs-confirmed-start $T/session.go 's/started := .*answeredAt.IsZero() \&\& /started := /' ./$T ./$J/scheduler
H=$J/handler
mutant key-is-required $H/authorize.go 's/if qu.Public || !rd.Catalog().RequiresKeys {/if true {/' ./$H
mutant empty-key-is-no-key $H/authorize.go 's/ok \&\& key != ""/ok/' ./$H
mutant public-queue-has-its-own-jobs $H/authorize.go 's/return js.Spec.Queue == qu.Key()/return true/' ./$H
mutant teams-are-apart $H/authorize.go 's/return js.Spec.Team == team/return true/' ./$H
mutant keys-need-leadership $H/handler.go 's/if sv.Scheduler.Ready() {/if sv.Leader.LeaderID() == sv.Self {/' ./$H
mutant leader-confirms-version $H/catalog.go 's/return sv.confirmCatalog(ctx, call.Catalog.Version)/return jobapi.Reply{Outcome: jobapi.OK}/' ./$H
mutant empty-teams-refuse-all platform/control.go 's/if wc.Tenants == nil {/if len(wc.Tenants) == 0 {/' ./platform
mutant document-is-not-quoted internal/common/strictjson/redact.go 's/case errors.As(err, &wrongType):/case errors.As(err, \&wrongType):\n\t\treturn wrongType/' ./platform
mutant refused-retry-is-no-proof internal/entry/relay/relay.go 's/mayHaveRun \&\& deniesEffect(call.Kind, rep.Outcome)/false/' ./internal/entry/relay
mutant starts-stay-within-cap $J/store/store.go 's/case !st.withinCap(js, sa.Task):/case false:/' ./$J/store
mutant caps-hold-with-every-change $J/store/store.go 's/case !st.withinCap(js, sa.Task):/case false:/' -run TestRandomEventSequences ./$J/scheduler
mutant gang-is-admitted-as-a-whole $J/store/store.go 's/st.TeamUse\[tm.Name\], step.Resources) >= count/st.TeamUse[tm.Name], step.Resources) >= min(count, 1)/' ./$J/store
mutant placed-gang-members-count-once $J/store/store.go 's/if !js.Occurrences\[rf.Occurrence\]\[rf.Step\].Tasks\[ix\].Placed() {/if ix >= 0 {/' ./$J/store
mutant use-above-cap-starts-nothing internal/config/catalog/cap.go 's/case room < 0:/case false:/' ./internal/config/catalog
mutant use-is-released $J/store/state.go 's/st.TeamUse\[tm\].Minus(step.Resources)/st.TeamUse[tm]/' ./$J/store
mutant use-is-rebuilt $J/store/store.go 's/^\tst.rebuildIndexes()$/\tst.rebuildIndexes()\n\tst.TeamUse = map[weir.TeamName]spec.Resources{}/' ./$J/store
mutant use-counts-full-request $J/store/state.go 's/\(st.TeamUse\[tm\].[A-Z][a-z]*\)(step.Resources)/\1(step.Reserved())/' ./$J/store
mutant use-counts-until-the-end $J/store/store.go 's/^\tjs.Ended = at$/\tjs.Ended = at\n\tdelete(st.TeamUse, js.Spec.Team)/' ./$J/store
mutant wide-jobs-are-refused $J/handler/handler.go 's/if reason := widerThanCap(team, jb); reason != "" {/if reason := widerThanCap(team, jb); false {/' ./$J/handler
mutant wide-gangs-are-refused $J/handler/cap.go 's/together = step.Count$/together = 1/' ./$J/handler
mutant capped-tasks-call-no-machines $J/scheduler/capped_load.go 's/allowed := min(sl.starting, .*$/allowed := sl.starting/' ./$J/scheduler
mutant cap-holds-over-all-pools $J/scheduler/capped_load.go 's/^\tct.use = ct.use.Plus(sl.step.Resources.Times(float64(allowed)))$//' ./$J/scheduler
mutant capped-arrivals-call-no-machines $J/scheduler/capped_load.go 's/extra := min(sl.arriving-there, .*$/extra := sl.arriving - there/' ./$J/scheduler
mutant capped-load-is-in-order $J/scheduler/capped_load.go 's/return cmp.Compare(one.Spec.ID, other.Spec.ID)/return cmp.Compare(0, 0)/' ./$J/scheduler
if [ $MISSED -ne 0 ]; then
  echo "mutants: some rules are not missed"
  exit 1
fi
echo "mutants: all caught"
