package placing

// reservedFraction is the part of a runner's slots that is kept for requests of higher
// precedence. With 32 slots and requests of two seconds, four slots take two requests a
// second while all others are in use.
const reservedFraction = 8

// Unreserved returns the number of requests up to which a runner with the given number
// of slots accepts one that may not use the reserved slots.
func Unreserved(slots int) int { return slots - slots/reservedFraction }
