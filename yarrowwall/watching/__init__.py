"""Store readers: a few machines per zone watch the platform store and serve its objects to others.

A gateway or replica reads the store through a
:class:`yarrowwall.watching.store_client.StoreClient`, which asks one of the machines that run a
:class:`yarrowwall.watching.reader.StoreReader`.
"""
