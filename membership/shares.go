package membership

// Shares of the burst that must remain before updates of each urgency are
// sent: urgent updates may use all of the budget, the others leave a reserve
// for urgent ones that arise later.
var (
	// probeShares holds for updates on probes and acknowledgements.
	probeShares = [urgencies]float64{urgent: 0, prompt: 0.3, routine: 0.35}
	// roundShares holds for rounds of updates with their own datagrams.
	roundShares = [urgencies]float64{urgent: 0, prompt: 0.4, routine: 0.4}
)

// joinShares holds for answers to joining members: the updates that the fewest
// members have seen are also the ones that a joining member can use best.
var joinShares = [urgencies]float64{}

// syncShare is the share that anti-entropy leaves. It is lower than that of
// updates that are not urgent: when there is too much to say, an exchange that
// sends only what the other lacks is the better use of the budget.
const syncShare = 0.05
