package retry

// Limits on the attempts of one request that reach no upstream. They cost no repeat.
const (
	// FreeSlotAttempts is the number of instances that are tried for a free slot before a request
	// may wait in a queue. Such an instance responds immediately, within the region in about 1 ms.
	FreeSlotAttempts = 3
	// MaxRefusals limits the refusals by daemons for one request.
	MaxRefusals = 6
	// MaxQueueRefusals limits the instances that refuse to queue one request. The other instances
	// are rarely less loaded, and an earlier refusal lets the caller retry sooner.
	MaxQueueRefusals = 2
)
