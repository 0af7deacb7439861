package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a message's text, sent as a string or as a list of text parts.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be text or a list of text parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.New("content parts must be of type text")
		}
		joined.WriteString(part.Text)
	}
	*c = chatContent(joined.String())
	return nil
}

// adapterSeparator separates the model from the adapter in a request's model name.
const adapterSeparator = ":"

// prompt renders messages in the form that engines expect, one line per message.
func prompt(messages []chatMessage) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(string(message.Content))
		text.WriteString("\n")
	}
	return text.String()
}

// validate returns the request in the form that dispatchers accept, or a failure that names the
// invalid field.
func (c *chatRequest) validate(tenant *configuration.Tenant) (*wire.GenerateRequest, error) {
	model, adapter, _ := strings.Cut(c.Model, adapterSeparator)
	if err := checkModel(tenant, model, adapter); err != nil {
		return nil, err
	}
	if len(c.Messages) == 0 {
		return nil, failure.New(failure.BadRequest, "send at least one message", "there are no messages").WithField("messages")
	}
	for index, message := range c.Messages {
		switch message.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return nil, failure.New(failure.BadRequest, "use system, developer, user, assistant or tool", "%q is not a role", message.Role).WithField("messages." + strconv.Itoa(index) + ".role")
		}
	}
	maxTokens, err := c.maxTokens(tenant)
	if err != nil {
		return nil, err
	}
	return &wire.GenerateRequest{
		Tenant:    tenant.Name,
		Class:     wire.Online,
		Rank:      tenant.Spec.OnlineRank,
		Model:     model,
		Adapter:   adapter,
		Prompt:    prompt(c.Messages),
		MaxTokens: maxTokens,
	}, nil
}

func (c *chatRequest) maxTokens(tenant *configuration.Tenant) (int, error) {
	requested := c.MaxCompletionTokens
	if requested == nil {
		requested = c.MaxTokens
	}
	if requested == nil {
		return tenant.Spec.MaxTokens, nil
	}
	if *requested < 1 || *requested > tenant.Spec.MaxTokens {
		return 0, failure.New(failure.BadRequest, "choose a value in the range", "%d is not from 1 to %d", *requested, tenant.Spec.MaxTokens).WithField("max_tokens")
	}
	return *requested, nil
}

func checkModel(tenant *configuration.Tenant, model, adapter string) error {
	if model == "" {
		return failure.New(failure.BadRequest, "name a model", "there is no model in the request").WithField("model")
	}
	if !slices.Contains(tenant.Spec.Models, model) {
		return failure.New(failure.BadRequest, "use one of: "+strings.Join(tenant.Spec.Models, ", "), "tenant %s may not use model %q", tenant.Name, model).WithField("model")
	}
	if adapter != "" && !slices.Contains(tenant.Spec.Adapters, adapter) {
		return failure.New(failure.BadRequest, "use one of: "+strings.Join(tenant.Spec.Adapters, ", "), "tenant %s may not use adapter %q", tenant.Name, adapter).WithField("model")
	}
	return nil
}

// handleChat serves POST /v1/chat/completions.
func (g *Gateway) handleChat(writer http.ResponseWriter, httpRequest *http.Request, requestID string) error {
	now := time.Now()
	if err := g.checkAccepting(); err != nil {
		return err
	}
	tenant, err := g.tenant(httpRequest)
	if err != nil {
		return err
	}
	var body chatRequest
	if err := readJSON(httpRequest, writer, int64(g.settings.MaxBodyBytes), &body); err != nil {
		return err
	}
	request, err := body.validate(tenant)
	if err != nil {
		return err
	}
	deadline, err := requestDeadline(httpRequest, now, tenant)
	if err != nil {
		return err
	}
	if g.daemon.CutsBefore(deadline) {
		return errStopping()
	}
	if g.inFlight.Load() > int64(g.settings.MaxRequests) {
		return failure.New(failure.NotRun, "send it again after the time given", "the gateway has %d requests in flight", g.inFlight.Load()).WithRetryAfter(shortRetryAfter)
	}
	release, err := g.limits.admit(now, tenant, g.session.GatewayCount())
	if err != nil {
		return err
	}
	defer release()
	request.RequestID = requestID
	request.NotRepeatable = strings.EqualFold(httpRequest.Header.Get(HeaderAtMostOnce), "true")
	logging.Info(g.logger, "request_accepted", "request", requestID, "tenant", tenant.Name, "model", request.Model, "at_most_once", request.NotRepeatable)
	response := newChatResponse(writer, requestID, body.Model, now)
	if body.Stream {
		usage := body.StreamOptions != nil && body.StreamOptions.IncludeUsage
		return response.respondStream(g.newRelay(*request, deadline, response.sendChunk), httpRequest, usage)
	}
	return response.respondJSON(g.newRelay(*request, deadline, func(string, int) error { return nil }), httpRequest)
}

// maxDeadline is the longest deadline that a request may set.
const maxDeadline = time.Hour

func requestDeadline(request *http.Request, now time.Time, tenant *configuration.Tenant) (time.Time, error) {
	text := request.Header.Get(HeaderDeadline)
	if text == "" {
		return now.Add(tenant.Spec.OnlineDeadline.Std()), nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > maxDeadline.Milliseconds() {
		return time.Time{}, failure.New(failure.BadRequest, "give whole milliseconds, at most an hour", "%q is not a deadline", text).WithField(HeaderDeadline)
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}
