/**
 * Addresses of the form `10.AVAILABILITY-ZONE.SERVICE.NUMBER`, the availability zones in turn. Your
 * own program reads them from where your platform lists its instances.
 */
export function addressesOf(service: number, count: number, availabilityZones: number): string[] {
  return Array.from({ length: count }, (_, index) => {
    const zone = (index % availabilityZones) + 1;
    const number = Math.floor(index / availabilityZones) + 1;
    return `10.${zone}.${service}.${number}:8080`;
  });
}
