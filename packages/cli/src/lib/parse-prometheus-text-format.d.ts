declare module 'parse-prometheus-text-format' {
  interface MetricFamily {
    readonly name: string;
    readonly metrics: readonly {
      readonly value?: string;
      readonly labels?: Readonly<Record<string, string>>;
    }[];
  }

  export default function parse(text: string): MetricFamily[];
}
