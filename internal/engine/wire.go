package engine

import (
	"encoding/json"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Paths of the endpoints' HTTP interface.
const (
	PathStatus = "/ridgehinge/status"
	PathOrders = "/ridgehinge/orders"
	PathChat   = "/v1/chat/completions"
	PathCancel = "/v1/cancel"
)

// Headers of requests to endpoints and of their responses.
const (
	// HeaderAttempt identifies one attempt of a request; responses repeat it.
	HeaderAttempt = "Ridgehinge-Attempt"
	// HeaderGroup, HeaderEpoch and HeaderGeneration are the fencing token of a
	// request: an endpoint that checks it rejects requests for another group.
	HeaderGroup      = "Ridgehinge-Group"
	HeaderEpoch      = "Ridgehinge-Epoch"
	HeaderGeneration = "Ridgehinge-Generation"
	// HeaderResumeFrom is the number of tokens that the caller has received.
	HeaderResumeFrom = "Ridgehinge-Resume-From"
	// HeaderPriority is 0 for high, 1 for normal and 2 for low.
	HeaderPriority = "Ridgehinge-Priority"
	// HeaderNotStarted is set by an endpoint on a rejection if the request did
	// not start.
	HeaderNotStarted = "Ridgehinge-Not-Started"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad makes the endpoint a member of a group.
	OrderLoad OrderKind = "load"
	// OrderRelease removes it from its group; the weights may stay in memory.
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
	// Incarnation is the incarnation that the order is for; others reject it.
	Incarnation uint64 `json:"incarnation"`
}

// Chunk is one event of a streamed chat completion, with only the fields that
// are used here.
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

// Delta has the added text as encoded JSON, so that forwarding it needs no
// decoding and encoding.
type Delta struct {
	Content json.RawMessage `json:"content,omitempty"`
}
