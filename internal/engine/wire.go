package engine

import (
	"encoding/json"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Paths of an endpoint's interface.
const (
	PathStatus = "/ridgehinge/status"
	PathOrders = "/ridgehinge/orders"
	PathChat   = "/v1/chat/completions"
	PathCancel = "/v1/cancel"
)

// Headers between the system and an endpoint.
const (
	// HeaderAttempt names one try to run a request; answers carry it back.
	HeaderAttempt = "Ridgehinge-Attempt"
	// HeaderGroup, HeaderEpoch and HeaderGeneration are the fence of a
	// request: an endpoint that checks fences refuses another group's.
	HeaderGroup      = "Ridgehinge-Group"
	HeaderEpoch      = "Ridgehinge-Epoch"
	HeaderGeneration = "Ridgehinge-Generation"
	// HeaderResumeFrom is the number of tokens that the caller has already.
	HeaderResumeFrom = "Ridgehinge-Resume-From"
	// HeaderPriority is 0 for high, 1 for normal and 2 for low.
	HeaderPriority = "Ridgehinge-Priority"
	// HeaderNotStarted is set by an endpoint on a refusal that proves that
	// the request did not start.
	HeaderNotStarted = "Ridgehinge-Not-Started"
)

// OrderKind is what an order asks of an endpoint.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad makes the endpoint a member of a group.
	OrderLoad OrderKind = "load"
	// OrderRelease makes it leave its group; the weights may stay in memory.
	OrderRelease OrderKind = "release"
	// OrderPreload loads weights without a group.
	OrderPreload OrderKind = "preload"
)

// Order is a fenced command to an endpoint.
type Order struct {
	Kind    OrderKind      `json:"kind"`
	Fence   fleet.Fence    `json:"fence"`
	Group   fleet.GroupID  `json:"group,omitempty"`
	Weights string         `json:"weights,omitempty"`
	Role    fleet.Role     `json:"role,omitempty"`
	Rank    int            `json:"rank"`
	Members []fleet.Member `json:"members,omitempty"`
	// Incarnation is the one that the order is meant for; another refuses.
	Incarnation uint64 `json:"incarnation"`
}

// Chunk is one event of a streamed answer, in the form that model callers
// know, reduced to the fields that the system reads.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object,omitempty"`
	Model   string        `json:"model,omitempty"`
	Choices []ChunkChoice `json:"choices"`
	// Token is the index of the first token of this event.
	Token int `json:"ridgehinge_token"`
}

// ChunkChoice is the one choice of a Chunk.
type ChunkChoice struct {
	Index int   `json:"index"`
	Delta Delta `json:"delta"`
	// FinishReason is set on the last chunk.
	FinishReason *string `json:"finish_reason"`
}

// Delta carries the new text, still encoded, so that a relay need not decode
// and encode it again.
type Delta struct {
	Content json.RawMessage `json:"content,omitempty"`
}
