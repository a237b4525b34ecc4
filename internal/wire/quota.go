package wire

// MethodRenewQuota takes a quota.Renewal from an entry and answers a
// quota.Reply. Only the control instance that owns the quotas accepts it.
const MethodRenewQuota = "quota.renew"
