package membership

// Shares of the burst that must remain before updates of each urgency are
// sent: urgent updates may use all of the budget, the others leave a reserve
// for urgent ones that arise later.
var (
	// probeShares holds for updates on probes and acknowledgements.
	probeShares = [urgencies]float64{urgent: 0, prompt: 0.05, routine: 0.1}
	// roundShares holds for rounds of updates with their own datagrams.
	roundShares = [urgencies]float64{urgent: 0, prompt: 0.4, routine: 0.4}
)

// syncShare is the share that anti-entropy leaves.
const syncShare = 0.05
