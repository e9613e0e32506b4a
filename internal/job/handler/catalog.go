package handler

import (
	"context"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/store"
)

// held is the version of the configuration that this process holds. It is
// committed.
func (sv *Handler) held() int64 {
	version := int64(0)
	sv.Store.Read(func(rd store.Reader) { version = rd.Packed().Version })
	return version
}

// takeCatalog checks and packs a configuration before it is passed on. A
// version that is not newer than a committed one changes nothing, whoever
// leads, and needs no leader.
func (sv *Handler) takeCatalog(ctx context.Context, call jobapi.Call) jobapi.Reply {
	if err := call.Catalog.Check(); err != nil {
		return jobapi.Reply{Outcome: jobapi.Invalid, Reason: err.Error()}
	}
	if call.Catalog.Version <= sv.held() {
		return jobapi.Reply{Outcome: jobapi.OK, Reason: "version is not newer"}
	}
	packed, err := call.Catalog.Pack()
	if err != nil {
		return jobapi.Reply{Outcome: jobapi.Invalid, Reason: err.Error()}
	}
	call.Catalog, call.Packed = nil, packed
	return sv.dispatch(ctx, call)
}

// putCatalog acknowledges a version that is not newer without taking it, as a
// change that was accepted may be sent again at any time. The process where it
// came in has checked it.
func (sv *Handler) putCatalog(ctx context.Context, call jobapi.Call) jobapi.Reply {
	ans, failed := sv.commit(ctx, store.Change{Catalog: call.Packed})
	if failed != nil {
		return *failed
	}
	var ct catalog.Catalog
	sv.Store.Read(func(rd store.Reader) { ct = rd.Catalog() })
	_ = sv.Logger.Log("level", "info", "msg", "configuration", "version", call.Packed.Version, "taken", ans.Applied,
		"reason", ans.Reason, "packedBytes", len(call.Packed.Data), "inForce", ct.Version, "queues", len(ct.Queues), "pools", len(ct.Pools))
	sv.Owner.Wake()
	return jobapi.Reply{Outcome: jobapi.OK, Reason: ans.Reason}
}

// readCatalog asks the leader for the newest configuration. Where this process
// holds it already the leader only says so.
func (sv *Handler) readCatalog(ctx context.Context, call jobapi.Call) jobapi.Reply {
	call.Number = sv.held()
	rep := sv.dispatch(ctx, call)
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

// getCatalog answers with the newest configuration, packed, or only with its
// version where the asking process holds that.
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
