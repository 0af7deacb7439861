package gateway

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/failure"
)

// Headers of the callers' API.
const (
	// HeaderRequestID names the request in answers, logs and errors.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey makes a resent job the same job.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAtMostOnce forbids to start a request twice when it is "true".
	HeaderAtMostOnce = "Sedgemast-At-Most-Once"
	// HeaderDeadline is the time allowed for the answer, in milliseconds.
	HeaderDeadline = "Sedgemast-Deadline-Ms"
)

// bootstrapOperator is the name under which the settings' own key acts.
const bootstrapOperator = "bootstrap"

func (g *Gateway) newRequestID() string {
	return fmt.Sprintf("%s-%d-%d", g.settings.Name, g.incarnation/1_000_000_000, g.sequence.Add(1))
}

func bearer(request *http.Request) (string, error) {
	secret, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found || secret == "" {
		return "", failure.New(failure.Unauthenticated, "send Authorization: Bearer KEY", "there is no key in the request")
	}
	return secret, nil
}

// tenant returns the tenant whose key the request carries.
func (g *Gateway) tenant(request *http.Request) (*configuration.Tenant, error) {
	secret, err := bearer(request)
	if err != nil {
		return nil, err
	}
	config := g.session.Config()
	identity, found := config.Identify(secret)
	if !found {
		return nil, failure.New(failure.Unauthenticated, "check the key, or ask an operator for a new one", "the key is not known")
	}
	if identity.Tenant == "" {
		return nil, failure.New(failure.Forbidden, "use a tenant's key", "an operator's key can't run requests")
	}
	tenant := config.Tenants[identity.Tenant]
	if tenant.Disabled {
		return nil, failure.New(failure.Forbidden, "ask an operator to enable the tenant", "tenant %s is disabled", tenant.Name)
	}
	return tenant, nil
}

// operator returns the name of the operator whose key the request carries.
func (g *Gateway) operator(request *http.Request) (string, error) {
	secret, err := bearer(request)
	if err != nil {
		return "", err
	}
	digest := configuration.Digest(secret)
	own := g.settings.OperatorKeySHA256
	if own != "" && subtle.ConstantTimeCompare([]byte(digest), []byte(strings.ToLower(own))) == 1 {
		return bootstrapOperator, nil
	}
	identity, found := g.session.Config().Identify(secret)
	if !found {
		return "", failure.New(failure.Unauthenticated, "check the key, or ask another operator for a new one", "the key is not known")
	}
	if identity.Operator == "" {
		return "", failure.New(failure.Forbidden, "use an operator's key", "a tenant's key can't operate the system")
	}
	return identity.Operator, nil
}
