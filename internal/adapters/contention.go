package adapters

import "sync/atomic"

// ContentionCounters count the decisions by which some requests go before others.
type ContentionCounters struct {
	// Deferrals counts the times that a request was told to ask again because others go
	// first, DeferralsRefused the deferred requests that were refused in the end.
	Deferrals, DeferralsRefused atomic.Int64
	// DisplacedLoads counts the queued loads that gave their adapter slots to loads of
	// higher precedence, ReservedSlots the requests refused because the last request
	// slots are kept for higher precedence.
	DisplacedLoads, ReservedSlots atomic.Int64
}
