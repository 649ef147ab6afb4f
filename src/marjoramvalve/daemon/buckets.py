"""Hosts the customers' token buckets that this instance owns."""

from collections import OrderedDict

from marjoramvalve.gateway import Context
from marjoramvalve.membership import bucket_owner
from marjoramvalve.rates import LOT_TTL_S, BucketOwners, Share
from marjoramvalve.wire.messages import (
    BucketTokenGrant,
    BucketTokenRequest,
    TokenOffer,
    TokenTransfer,
)

PULL_INTERVAL_S = 0.05
LOW_BUCKET_DEFICIT_FRACTION = 0.5
MIN_DEFICIT_TOKENS = 0.5
OFFER_FRACTION = 0.25
DEFICIT_REPORT_INTERVAL_S = 0.25
MAX_CACHED_GRANTS = 4096
BORROW_TIMEOUT_S = 1.0


class BucketHost:
    """Owns the buckets placed on this instance and balances them between failure domains."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._owners = BucketOwners(context.cfg.config_lease, context.cfg.clock_drift)
        self._cached_grants: OrderedDict[tuple[str, int], BucketTokenGrant] = OrderedDict()
        self._last_pull_at = 0.0
        self._nonce = -context.incarnation  # Negative: distinct from the nonces of RateClient.
        self._borrow_sent_at: dict[int, float] = {}
        self._deficit_reported_at: dict[str, float] = {}

    def sync(self) -> None:
        """Acquires and releases buckets to match the configuration and the roster.

        A customer created under the current placement has used no tokens yet, so its buckets start
        full.
        """
        view = self._context.view
        now = self._context.clock()
        domains = {item.domain for item in view.roster.members}
        for name, customer in view.document.customers.items():
            owner = bucket_owner(view.roster, name, self._context.cfg.domain)
            if owner is None or owner.name != self._context.cfg.instance:
                self._transfer(name, owner, now)
                continue
            share = Share(customer.rate / len(domains), customer.burst / len(domains))
            fresh = name in view.roster.new_customers
            self._owners.assign(name, share, fresh, now)
        for name in self._owners.customers():
            if name not in view.document.customers:
                self._owners.release(name, now)

    def _transfer(self, customer: str, owner, now: float) -> None:
        tokens = self._owners.release(customer, now)
        if tokens > 0 and owner is not None:
            epoch = self._context.view.roster.placement_epoch
            self._context.send_datagram(owner.peer, TokenTransfer(customer, epoch, tokens))

    def on_request(self, address: str, body: BucketTokenRequest) -> None:
        """Answers a request; a duplicate gets the same answer as the first."""
        key = (address, body.nonce)
        grant = self._cached_grants.get(key)
        if grant is None:
            grant = self._grant(address, body)
            self._cached_grants[key] = grant
            if len(self._cached_grants) > MAX_CACHED_GRANTS:
                self._cached_grants.popitem(last=False)
        self._context.send_datagram(address, grant)

    def _grant(self, address: str, body: BucketTokenRequest) -> BucketTokenGrant:
        epoch = self._context.view.roster.placement_epoch
        if body.placement_epoch != epoch:
            return BucketTokenGrant(body.customer, body.nonce, 0.0, 0.0, False)
        if self._context.cfg.stale_config == "refuse" and not self._context.is_current():
            return BucketTokenGrant(body.customer, body.nonce, 0.0, 0.0, False)
        return self._owners.request(body, address, self._context.clock())

    def on_transfer(self, body: TokenTransfer) -> None:
        """Adds tokens from a previous owner, or tokens returned unused.

        Transfers from another placement epoch are ignored.
        """
        if body.placement_epoch != self._context.view.roster.placement_epoch:
            return
        add_tokens = self._owners.return_unused if body.unused else self._owners.add
        add_tokens(body.customer, body.tokens, self._context.clock())

    def on_borrowed(self, body: BucketTokenGrant) -> None:
        """Adds tokens that this instance requested from the owner in another domain.

        Duplicate and late answers are ignored, and their tokens are lost.
        """
        now = self._context.clock()
        sent_at = self._borrow_sent_at.pop(body.nonce, None)
        if sent_at is not None and now < sent_at + LOT_TTL_S:
            self._owners.add(body.customer, body.granted, now)

    def on_offer(self, address: str, body: TokenOffer) -> None:
        """Requests part of the deficit from an owner whose bucket overflows."""
        now = self._context.clock()
        deficit = self._owners.deficit(body.customer, now)
        if deficit >= MIN_DEFICIT_TOKENS:
            self._borrow(address, body.customer, deficit * OFFER_FRACTION, deficit, now)

    def is_busy(self) -> bool:
        """Returns whether any bucket is not full or has recent borrowers."""
        return bool(self._owners.active())

    def tick(self) -> None:
        """Offers surplus tokens to other domains and requests tokens for deficits."""
        now = self._context.clock()
        for offer in self._owners.offers(now):
            self._context.send_datagram(offer.address, offer.body)
        if now < self._last_pull_at + PULL_INTERVAL_S:
            return
        self._last_pull_at = now
        self._borrow_sent_at = {
            nonce: at for nonce, at in self._borrow_sent_at.items() if at > now - BORROW_TIMEOUT_S
        }
        for customer in self._owners.active():
            self._request_tokens(customer, now)

    def _request_tokens(self, customer: str, now: float) -> None:
        """Requests tokens from the owners in other domains, or only reports a deficit to them.

        An owner that knows of a deficit sends an offer when its own bucket overflows.
        """
        view = self._context.view
        deficit = self._owners.deficit(customer, now)
        domains = {item.domain for item in view.roster.members}
        item = view.document.customers.get(customer)
        if item is None or deficit < MIN_DEFICIT_TOKENS:
            return
        is_low = deficit >= LOW_BUCKET_DEFICIT_FRACTION * item.burst / len(domains)
        if (
            not is_low
            and now < self._deficit_reported_at.get(customer, 0.0) + DEFICIT_REPORT_INTERVAL_S
        ):
            return
        self._deficit_reported_at[customer] = now
        wanted = deficit / len(domains) if is_low else 0.0
        for domain in domains - {self._context.cfg.domain}:
            owner = bucket_owner(view.roster, customer, domain)
            self._borrow(owner.peer, customer, wanted, deficit, now)

    def _borrow(
        self, address: str, customer: str, wanted: float, deficit: float, now: float
    ) -> None:
        self._nonce -= 1
        self._borrow_sent_at[self._nonce] = now
        epoch = self._context.view.roster.placement_epoch
        min_tokens = min(1.0, wanted)
        body = BucketTokenRequest(customer, epoch, min_tokens, wanted, self._nonce, True, deficit)
        self._context.send_datagram(address, body)
