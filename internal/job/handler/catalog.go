package handler

import (
	"context"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/store"
)

// committedVersion returns the version of the configuration in this replica,
// which is a committed one.
func (sv *Handler) committedVersion() int64 {
	version := int64(0)
	sv.Store.Read(func(rd store.Reader) { version = rd.Packed().Version })
	return version
}

// requiresKeys reports whether the configuration in this replica needs keys.
func (sv *Handler) requiresKeys() bool {
	required := false
	sv.Store.Read(func(rd store.Reader) { required = rd.Catalog().RequiresKeys })
	return required
}

// versionNotNewer acknowledges a configuration that changes nothing.
var versionNotNewer = jobapi.Reply{Outcome: jobapi.OK, Reason: "version is not newer"}

// receiveCatalog checks and packs a configuration before it is routed to the
// leader. A version that is not newer than a committed one changes nothing, so
// it is acknowledged without the leader, unless the leader might still accept a key
// that it removes.
func (sv *Handler) receiveCatalog(ctx context.Context, call jobapi.Call) jobapi.Reply {
	if err := call.Catalog.Check(); err != nil {
		return jobapi.Reply{Outcome: jobapi.Invalid, Reason: err.Error()}
	}
	if call.Catalog.Version <= sv.committedVersion() {
		if !sv.requiresKeys() {
			return versionNotNewer
		}
		return sv.confirmCatalog(ctx, call.Catalog.Version)
	}
	packed, err := call.Catalog.Pack()
	if err != nil {
		return jobapi.Reply{Outcome: jobapi.Invalid, Reason: err.Error()}
	}
	call.Catalog, call.Packed = nil, packed
	return sv.route(ctx, call)
}

// confirmCatalog acknowledges a version that this replica has applied, once the leader
// has applied it too. A follower may apply an entry before the leader does, which
// until then accepts keys that the version removes. Without a leader the version is
// acknowledged as well: the next one applies it before it answers calls.
func (sv *Handler) confirmCatalog(ctx context.Context, version int64) jobapi.Reply {
	rep := sv.route(ctx, jobapi.Call{Kind: jobapi.GetCatalog, Number: sv.committedVersion()})
	switch {
	case rep.Outcome == jobapi.Unavailable, rep.Outcome == jobapi.OK && rep.Version >= version:
		return versionNotNewer
	case rep.Outcome == jobapi.OK:
		return jobapi.Reply{Outcome: jobapi.Unavailable, Reason: "the leader has not applied the version", RetryAfter: retryUnavailable}
	}
	return rep
}

// putCatalog commits a configuration that the receiving process has checked. It
// acknowledges a version that is not newer as well, since clients may resend an
// accepted configuration at any time.
func (sv *Handler) putCatalog(ctx context.Context, call jobapi.Call) jobapi.Reply {
	ans, failed := sv.commit(ctx, store.Change{Catalog: call.Packed})
	if failed != nil {
		return *failed
	}
	var ct catalog.Catalog
	sv.Store.Read(func(rd store.Reader) { ct = rd.Catalog() })
	_ = sv.Logger.Log("level", "info", "msg", "configuration", "version", call.Packed.Version, "taken", ans.Applied,
		"reason", ans.Reason, "packedBytes", len(call.Packed.Data), "inForce", ct.Version, "queues", len(ct.Queues), "pools", len(ct.Pools))
	sv.Scheduler.Wake()
	return jobapi.Reply{Outcome: jobapi.OK, Reason: ans.Reason}
}

// fetchCatalog asks the leader for the newest configuration. If this replica
// already has it, the leader replies with the version only.
func (sv *Handler) fetchCatalog(ctx context.Context, call jobapi.Call) jobapi.Reply {
	call.Number = sv.committedVersion()
	rep := sv.route(ctx, call)
	switch {
	case rep.Outcome != jobapi.OK:
		return rep
	case rep.Packed != nil:
		ct, err := rep.Packed.Unpack()
		if err != nil {
			return jobapi.Reply{Outcome: jobapi.Unavailable, Reason: err.Error(), RetryAfter: retryUnavailable}
		}
		rep.Document = ct.Document
	default:
		sv.Store.Read(func(rd store.Reader) { rep.Document = rd.Catalog().Document })
	}
	rep.Packed = nil
	return rep
}

// getCatalog returns the newest configuration in packed form, or only its version
// if the calling process has that version.
func (sv *Handler) getCatalog(call jobapi.Call) jobapi.Reply {
	var rep jobapi.Reply
	sv.Store.Read(func(rd store.Reader) {
		pk := rd.Packed()
		if pk.Version == 0 {
			rep = noCatalog
			return
		}
		rep = jobapi.Reply{Outcome: jobapi.OK, Version: pk.Version}
		if call.Number != pk.Version {
			rep.Packed = &pk
		}
	})
	return rep
}
