"""Owners of customers' buckets at this instance."""

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
PULL_BELOW = 0.5
LEAST_DEFICIT = 0.5
OFFER_PART = 0.25
TELL_INTERVAL_S = 0.25
REMEMBERED_ANSWERS = 4096
ASKED_S = 1.0


class BucketHost:
    """Owns the buckets that the roster places here and evens them out between domains."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._owners = BucketOwners(context.cfg.config_lease, context.cfg.clock_drift)
        self._answered: OrderedDict[tuple[str, int], BucketTokenGrant] = OrderedDict()
        self._pulled_at = 0.0
        self._nonce = -context.incarnation  # Apart from those of the calls' own requests.
        self._asked: dict[int, float] = {}
        self._told_at: dict[str, float] = {}

    def sync(self) -> None:
        """Takes over and gives up buckets as configuration and roster say.

        A customer created under the present placement has spent nothing yet, and so its buckets
        start full.
        """
        view = self._context.view
        now = self._context.clock()
        domains = {item.domain for item in view.roster.members}
        for name, customer in view.document.customers.items():
            owner = bucket_owner(view.roster, name, self._context.cfg.domain)
            if owner is None or owner.name != self._context.cfg.instance:
                self._hand_on(name, owner, now)
                continue
            share = Share(customer.rate / len(domains), customer.burst / len(domains))
            fresh = name in view.roster.new_customers
            self._owners.assign(name, share, fresh, now)
        for name in self._owners.customers():
            if name not in view.document.customers:
                self._owners.release(name, now)

    def _hand_on(self, customer: str, owner, now: float) -> None:
        tokens = self._owners.release(customer, now)
        if tokens > 0 and owner is not None:
            epoch = self._context.view.roster.placement_epoch
            self._context.send_datagram(owner.peer, TokenTransfer(customer, epoch, tokens))

    def on_request(self, address: str, body: BucketTokenRequest) -> None:
        """Answers a request; one that comes twice gets its first answer again."""
        key = (address, body.nonce)
        answer = self._answered.get(key)
        if answer is None:
            answer = self._answer(address, body)
            self._answered[key] = answer
            if len(self._answered) > REMEMBERED_ANSWERS:
                self._answered.popitem(last=False)
        self._context.send_datagram(address, answer)

    def _answer(self, address: str, body: BucketTokenRequest) -> BucketTokenGrant:
        epoch = self._context.view.roster.placement_epoch
        if body.placement_epoch != epoch:
            return BucketTokenGrant(body.customer, body.nonce, 0.0, 0.0, False)
        if self._context.cfg.stale_config == "refuse" and not self._context.is_current():
            return BucketTokenGrant(body.customer, body.nonce, 0.0, 0.0, False)
        return self._owners.request(body, address, self._context.clock())

    def on_transfer(self, body: TokenTransfer) -> None:
        """Takes in tokens from the owner in another domain, or from an earlier owner."""
        if body.placement_epoch != self._context.view.roster.placement_epoch:
            return
        take = self._owners.return_unused if body.unused else self._owners.add
        take(body.customer, body.tokens, self._context.clock())

    def on_loan(self, body: BucketTokenGrant) -> None:
        """Takes in tokens that this owner asked another one for.

        Any other answer is one that comes twice or too late, and its tokens are gone.
        """
        now = self._context.clock()
        asked_at = self._asked.pop(body.nonce, None)
        if asked_at is not None and now < asked_at + LOT_TTL_S:
            self._owners.add(body.customer, body.granted, now)

    def on_offer(self, address: str, body: TokenOffer) -> None:
        """Asks for what another owner's bucket can't hold."""
        now = self._context.clock()
        deficit = self._owners.deficit(body.customer, now)
        if deficit >= LEAST_DEFICIT:
            self._borrow(address, body.customer, deficit * OFFER_PART, deficit, now)

    def is_busy(self) -> bool:
        """Tells whether any bucket here is not full."""
        return bool(self._owners.active())

    def tick(self) -> None:
        """Moves tokens between domains: surplus out, and lack in."""
        now = self._context.clock()
        for offer in self._owners.offers(now):
            self._context.send_datagram(offer.address, offer.body)
        if now < self._pulled_at + PULL_INTERVAL_S:
            return
        self._pulled_at = now
        self._asked = {nonce: at for nonce, at in self._asked.items() if at > now - ASKED_S}
        for customer in self._owners.active():
            self._pull(customer, now)

    def _pull(self, customer: str, now: float) -> None:
        """Asks the owners in other domains for tokens, or only tells them of a lack.

        An owner that knows of a lack tells when its own bucket overflows.
        """
        view = self._context.view
        deficit = self._owners.deficit(customer, now)
        domains = {item.domain for item in view.roster.members}
        item = view.document.customers.get(customer)
        if item is None or deficit < LEAST_DEFICIT:
            return
        dry = deficit >= PULL_BELOW * item.burst / len(domains)
        if not dry and now < self._told_at.get(customer, 0.0) + TELL_INTERVAL_S:
            return
        self._told_at[customer] = now
        want = deficit / len(domains) if dry else 0.0
        for domain in domains - {self._context.cfg.domain}:
            owner = bucket_owner(view.roster, customer, domain)
            self._borrow(owner.peer, customer, want, deficit, now)

    def _borrow(self, address: str, customer: str, want: float, deficit: float, now: float) -> None:
        self._nonce -= 1
        self._asked[self._nonce] = now
        epoch = self._context.view.roster.placement_epoch
        need = min(1.0, want)
        body = BucketTokenRequest(customer, epoch, need, want, self._nonce, True, deficit)
        self._context.send_datagram(address, body)
