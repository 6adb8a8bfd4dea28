package configreaders

// Action is the next step of a node.
type Action struct {
	// ReadStore tells the node to read the store. Otherwise it follows Reader.
	ReadStore bool
	Reader    Peer
	// Reason says why the node reads the store.
	Reason Reason
}

// Reason says why a node reads the store.
type Reason string

// The reasons for which a node reads the store.
const (
	IsReader        Reason = "reader of the failure domain"
	NoConfiguration Reason = "no configuration known"
	ReaderSilent    Reason = "reader did not answer in time"
	NoReaderFresh   Reason = "no reader confirms that it reads the store"
)
