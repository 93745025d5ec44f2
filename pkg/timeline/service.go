package timeline

import (
	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
)

// ServiceName is the name of the timeline service.
const ServiceName = "node.timeline"

// DefaultCapacity is the number of events kept in memory, about 2 MB.
const DefaultCapacity = 8192

// Service provides a Ring as a kernel service.
type Service struct {
	kernel.Base
	*Ring
}

// NewService returns the timeline service of a node.
func NewService(node string, hlc *clock.HLC, capacity int) *Service {
	return &Service{Ring: NewRing(node, hlc, capacity)}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }
