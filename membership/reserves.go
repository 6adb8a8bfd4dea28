package membership

// Fractions of the burst that must remain in the budget when updates of each
// urgency are sent. Urgent updates may use the whole budget; the others leave a
// reserve for later urgent ones.
var (
	// probeReserves applies to updates on probes and acknowledgements.
	probeReserves = [urgencyCount]float64{urgent: 0, prompt: 0.1, routine: 0.35}
	// roundReserves applies to update rounds.
	roundReserves = [urgencyCount]float64{urgent: 0, prompt: 0.1, routine: 0.4}
)

// joinReserves applies to answers to joining members. It leaves no reserve: the
// updates sent least often are also the most useful ones to a joining member.
var joinReserves = [urgencyCount]float64{}

// syncReserve is the fraction that anti-entropy leaves. It is lower than the
// reserves of non-urgent updates: under overload, an exchange that sends only
// what the other member lacks is the better use of the budget.
const syncReserve = 0.05
