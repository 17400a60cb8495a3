package retry

// While upstreams refuse or lose more requests than the budget can repeat, the repeats that are left go
// to the requests that most depend on them. The others may use only a part of the budget.

// Chance says how much a repeat improves the outcome for the caller.
type Chance uint8

const (
	// Decisive means that the request fails without the repeat and probably succeeds with it.
	Decisive Chance = iota
	// Spare means that the caller may still come back: the request has not run, and the refusal says
	// so. The caller's next request is a new one and costs no repeat.
	Spare
	// Doubtful means that the repeat alone is probably not enough: another call of the same run has
	// failed as well, or the run failed because one of its calls was given up.
	Doubtful
)

// Shares of the budget that the repeats on which less depends may use. While failures are rare, they
// cover all of them.
const (
	spareShare    = 0.5
	doubtfulShare = 0.25
)

// budgetShare returns the share of the budget that repeats with the chance may use.
func (c Chance) budgetShare() float64 {
	switch c {
	case Spare:
		return spareShare
	case Doubtful:
		return doubtfulShare
	case Decisive:
	}
	return 1
}

// String returns the name of the chance in metrics.
func (c Chance) String() string { return [...]string{"decisive", "spare", "doubtful"}[c] }

// FailedAttempt describes a failed attempt for which a repeat is considered.
type FailedAttempt struct {
	// NotRun is set if the request has certainly not run, and Returning if its caller has come back
	// after a refusal before.
	NotRun, Returning bool
	// Nested is set if a run of another service makes the request, and SiblingFailed if an attempt of
	// another call of that run has failed and the call has not succeeded since.
	Nested, SiblingFailed bool
	// CallFailed is set if a call that the run made was given up.
	CallFailed bool
}

// Chance returns how much depends on a repeat of the attempt.
func (a FailedAttempt) Chance() Chance {
	switch {
	case a.CallFailed, a.SiblingFailed:
		return Doubtful
	case a.NotRun && !a.Nested && !a.Returning:
		return Spare
	}
	return Decisive
}
