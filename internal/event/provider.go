package event

// Events of the providers of configuration and upstreams, of orders to the
// engines that these providers list, and of cache stores: 7000 to 7999.
const (
	ProviderLost             ID = 7001
	ProviderRegained         ID = 7002
	ProviderRecordBad        ID = 7003
	ProviderConfigApplied    ID = 7004
	ProviderWeightsAnnounced ID = 7005
	ProviderUpstream         ID = 7006
	OrderGiven               ID = 7007
	OrderUnfinished          ID = 7008
	OrdersHeld               ID = 7009
	OrdersReleased           ID = 7010
	CacheStoreLost           ID = 7011
	CacheStoreAvailable      ID = 7012
	ProviderRestored         ID = 7013
	UpstreamsUnreachable     ID = 7014
	UpstreamsRegained        ID = 7015
	OrdersOutdated           ID = 7016
	FeedLost                 ID = 7020
	FeedRegained             ID = 7021
)

var providerEvents = []Definition{
	{ProviderLost, "provider_lost", Warn, "A provider does not answer; its last records stay in use, and keys are accepted until the proof that they are current is too old."},
	{ProviderRegained, "provider_regained", Info, "A provider answers again."},
	{ProviderRecordBad, "provider_record_bad", Warn, "A provider's record can't be read and is skipped; detail has its topic and offset."},
	{ProviderConfigApplied, "provider_config_taken", Info, "A provider's configuration came into force at this daemon."},
	{ProviderWeightsAnnounced, "provider_weights_named", Info, "Operators selected a weights version; detail has the model."},
	{ProviderUpstream, "provider_upstream", Info, "A provider added, changed or removed an upstream; detail has its state, address and software version."},
	{OrderGiven, "order_given", Info, "An engine was ordered to load a weights version; detail has the model, the fencing token and the expected revision."},
	{OrderUnfinished, "order_unfinished", Warn, "An engine was not seen to complete an order; the order is sent again."},
	{OrdersHeld, "orders_held", Info, "This daemon acquired the lease for orders to engines; detail has its fencing token."},
	{OrdersReleased, "orders_released", Info, "This daemon lost or released the lease for orders to engines."},
	{CacheStoreLost, "cache_store_lost", Warn, "A store of cache entries does not answer; engines are not directed to it until it does."},
	{CacheStoreAvailable, "cache_store_there", Info, "A store of cache entries answers; detail has its epoch, which changes when it starts empty."},
	{ProviderRestored, "provider_restored", Warn, "A provider was restored from an older copy; its records are read anew, and what it lost is expected to be written again."},
	{UpstreamsUnreachable, "upstreams_unreachable", Warn, "This daemon can't connect to upstreams that other daemons reach; its requests go through these, and it gives up the lease for orders to engines."},
	{UpstreamsRegained, "upstreams_regained", Info, "This daemon connects to upstreams itself again."},
	{OrdersOutdated, "orders_outdated", Warn, "An engine refused an order because it has seen a higher fencing token; the daemon gives up the lease, and acquires it only with a higher token."},
	{FeedLost, "feed_lost", Warn, "The daemons that read a topic for this one failed it, so it reads for itself; detail has the topic, the error the reason."},
	{FeedRegained, "feed_regained", Info, "This daemon gets a topic's records from another daemon again; detail has the topic."},
}
