package api

// Names under which services are registered. A process runs a list of them.
const (
	ServiceConfigSource    = "config.source"
	ServiceConfigStore     = "config.store"
	ServiceMembership      = "membership"
	ServiceTransportLinks  = "transport.links"
	ServiceTransportSubset = "transport.subset"
	ServiceTransportServer = "transport.server"
	ServiceTransportPeers  = "transport.peers"
	ServiceTrust           = "trust"
	ServiceAdmission       = "admission"
	ServiceRouting         = "routing"
	ServiceDispatch        = "dispatch"
	ServiceFrontendHTTP    = "frontend.http"
	ServiceWork            = "work"
	ServiceEngine          = "engine"
	ServiceEngineFeed      = "engine.feed"
	ServiceMetrics         = "metrics"
	ServiceAdminHTTP       = "admin.http"
	ServiceLog             = "log"
	ServiceReport          = "report"
	ServiceDiscovery       = "discovery"
	ServiceExperts         = "experts"
	ServiceRankEngine      = "rank.engine"
	ServicePlatformStore   = "platform.store"
	ServicePlatformReady   = "platform.ready"
)
